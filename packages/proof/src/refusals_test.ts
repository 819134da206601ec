/**
 * Guards against refusals with a wrong reason or outcome, above all a
 * `not-run` for a call that a backend server has run.
 */
import { afterAll, afterEach, beforeAll, describe, expect, test } from "vitest";
import {
  REFUSAL_RULES,
  type RefusalReason,
} from "@marigoldford/kernel/refusal";
import { MeshNode } from "@marigoldford/mesh/mesh_node";
import type { Fleet, RunningEntry } from "@marigoldford/stand_ins/fleet";
import { Relay } from "@marigoldford/stand_ins/relay";
import { serviceRuleRow } from "@marigoldford/stand_ins/sheet_format";
import { setTimeout as sleep } from "node:timers/promises";
import {
  mintKeyOwnedBy,
  readEntryEndpoints,
} from "@marigoldford/stand_ins/entry_requests";
import {
  type CallAnswer,
  deploy,
  sendIdempotentCall,
  sendProtectedCall,
  SHORT_SHUTDOWN_SETTINGS,
  sumLedgerCounts,
  waitUntil,
} from "./deployment.ts";

/** The answer of an entry, and the runs that it caused in the ledgers. */
type Observation = { readonly answer: CallAnswer; readonly runs: number };
type Scenario = (fleet: Fleet) => Promise<Observation>;

async function countAllRuns(fleet: Fleet): Promise<number> {
  let runs = 0;
  for (const { address } of fleet.backends) {
    const ledger = await fleet.readLedger(address).catch(() => undefined);
    for (const row of ledger?.runs ?? []) runs += row.count;
  }
  return runs;
}

/** Sends a call to the first entry and counts the runs that it caused. */
async function observe(
  fleet: Fleet,
  send: (entry: RunningEntry) => Promise<CallAnswer>,
): Promise<Observation> {
  const before = await countAllRuns(fleet);
  const answer = await send(fleet.entries[0]);
  return { answer, runs: await countAllRuns(fleet) - before };
}

async function withBehaviour(
  fleet: Fleet,
  options: {
    readonly behaviour: Parameters<Fleet["setBehaviour"]>[1];
    readonly restored: Parameters<Fleet["setBehaviour"]>[1];
    readonly scenario: () => Promise<Observation>;
  },
): Promise<Observation> {
  for (const { address } of fleet.backends) {
    await fleet.setBehaviour(address, options.behaviour);
  }
  const result = await options.scenario();
  for (const { address } of fleet.backends) {
    await fleet.setBehaviour(address, options.restored);
  }
  return result;
}

/** Runs a scenario on an additional entry with its own settings. */
async function withAdditionalEntry(
  fleet: Fleet,
  options: {
    readonly settings: Parameters<Fleet["startEntry"]>[1];
    readonly scenario: (entry: RunningEntry) => Promise<Observation>;
  },
): Promise<Observation> {
  const entry = await fleet.startEntry("d", options.settings);
  const result = await options.scenario(entry);
  await entry.child.kill();
  return result;
}

/** Starts a peer that announces a hand-over to `entry` but sends no part. */
async function announceHandOver(
  entry: RunningEntry,
  leaver: string,
): Promise<MeshNode> {
  const peer = new MeshNode({
    incarnation: "ef".repeat(16),
    listenHost: "127.0.0.1",
    listenPort: 0,
    idleTimeoutMilliseconds: 5_000,
    connectTimeoutMilliseconds: 500,
    onMessage: () => {},
  });
  await peer.listen();
  peer.send(entry.meshAddress, {
    kind: "heartbeat",
    count: 1,
    state: "leaving",
    digest: "",
    handOvers: [{ leaver, successor: entry.incarnation }],
  });
  return peer;
}

/** One scenario for each reason; a reason without one does not compile. */
const SCENARIOS: Readonly<Record<RefusalReason, Scenario>> = {
  "malformed-request": (fleet) =>
    observe(fleet, (entry) =>
      sendIdempotentCall(entry, "/desk/1", {
        "Marigoldford-Deadline-Milliseconds": "soon",
      })),
  "keyed-malformed-request": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    return await observe(fleet, (entry) =>
      sendProtectedCall(entry, {
        key,
        headers: { "Marigoldford-Deadline-Milliseconds": "soon" },
      }));
  },
  "no-service": (fleet) =>
    observe(fleet, (entry) => sendIdempotentCall(entry, "/nowhere")),
  "body-too-large": (fleet) =>
    observe(
      fleet,
      (entry) => sendProtectedCall(entry, { body: "x".repeat(1_100_000) }),
    ),
  "keyed-body-too-large": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    const body = "x".repeat(1_100_000);
    return await observe(
      fleet,
      (entry) => sendProtectedCall(entry, { key, body }),
    );
  },
  "key-missing": (fleet) =>
    observe(fleet, (entry) => sendProtectedCall(entry, {})),
  "key-malformed": (fleet) =>
    observe(fleet, (entry) => sendProtectedCall(entry, { key: "mine" })),
  "key-closed": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    const first = await sendProtectedCall(fleet.entries[0], {
      key,
      deadlineMilliseconds: 0,
    });
    expect(first.outcome).toBe("not-run");
    return await observe(fleet, (entry) => sendProtectedCall(entry, { key }));
  },
  "table-full": (fleet) =>
    withAdditionalEntry(fleet, {
      settings: { protectedCalls: { maximumKeys: 1 } },
      scenario: async (entry) => {
        await sendProtectedCall(entry, { key: await mintKeyOwnedBy(entry) });
        const key = await mintKeyOwnedBy(entry);
        return await observe(fleet, () => sendProtectedCall(entry, { key }));
      },
    }),
  "deadline-passed": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    return await observe(
      fleet,
      (entry) => sendProtectedCall(entry, { key, deadlineMilliseconds: 0 }),
    );
  },
  "queue-full": (fleet) =>
    withAdditionalEntry(fleet, {
      settings: { calls: { queueLength: 1, inFlightPerSlot: 1 } },
      scenario: async (entry) => {
        const path = "/desk/slow?milliseconds=600";
        const keys = await Promise.all(
          Array.from({ length: 5 }, () => mintKeyOwnedBy(entry)),
        );
        const running = keys.map((key) =>
          sendProtectedCall(entry, { key, path })
        );
        await sleep(150);
        const key = await mintKeyOwnedBy(entry);
        const answer = await sendProtectedCall(entry, { key, path });
        const runs = await fleet.countRuns(key);
        await Promise.all(running);
        return { answer, runs };
      },
    }),
  "no-backend-server": (fleet) =>
    observe(fleet, (entry) => sendIdempotentCall(entry, "/empty/1")),
  "quarantined": (fleet) =>
    withBehaviour(fleet, {
      behaviour: { crashOn: "poison" },
      restored: { crashOn: "" },
      scenario: async () => {
        await sendIdempotentCall(fleet.entries[0], "/desk/poison").catch(() =>
          undefined
        );
        await sendIdempotentCall(fleet.entries[0], "/desk/poison").catch(() =>
          undefined
        );
        return await observe(fleet, (entry) =>
          sendIdempotentCall(entry, "/desk/poison"));
      },
    }),
  "entry-leaving": (fleet) =>
    withAdditionalEntry(fleet, {
      settings: {
        ...SHORT_SHUTDOWN_SETTINGS,
        shutdown: { graceMilliseconds: 200 },
      },
      scenario: async (entry) => {
        const key = await mintKeyOwnedBy(entry);
        const path = "/desk/slow?milliseconds=1500";
        const running = sendProtectedCall(entry, { key, path });
        await sleep(100);
        entry.child.signal("SIGTERM");
        await sleep(600);
        const result = await observe(fleet, () =>
          sendIdempotentCall(entry, "/desk/1"));
        expect((await running).outcome).toBe("answered");
        return result;
      },
    }),
  "entry-starting": (fleet) =>
    withAdditionalEntry(fleet, {
      settings: { platform: { url: "http://127.0.0.1:9" } },
      scenario: (entry) =>
        observe(fleet, () => sendIdempotentCall(entry, "/desk/1")),
    }),
  "backend-server-refused": (fleet) =>
    withBehaviour(fleet, {
      behaviour: { queueLength: 0 },
      restored: { queueLength: 100 },
      scenario: async () => {
        const key = await mintKeyOwnedBy(fleet.entries[0]);
        return await observe(
          fleet,
          (entry) => sendProtectedCall(entry, { key }),
        );
      },
    }),
  "connect-failed": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    return await observe(
      fleet,
      (entry) => sendProtectedCall(entry, { key, path: "/gone/book" }),
    );
  },
  "key-expired": (fleet) =>
    withAdditionalEntry(fleet, {
      settings: { protectedCalls: { keyLifetimeMilliseconds: 300 } },
      scenario: async (entry) => {
        const key = await mintKeyOwnedBy(entry);
        await sleep(500);
        return await observe(fleet, () => sendProtectedCall(entry, { key }));
      },
    }),
  "key-not-issued": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    const [owner, , unique] = key.split(".");
    const forged = `${owner}.zzzzzzzz.${unique}`;
    return await observe(
      fleet,
      (entry) => sendProtectedCall(entry, { key: forged }),
    );
  },
  "owner-unreachable": (fleet) =>
    observe(
      fleet,
      (entry) =>
        sendProtectedCall(entry, { key: `${"ab".repeat(16)}.zz.lost` }),
    ),
  "hand-over-incomplete": async (fleet) => {
    const [entry] = fleet.entries;
    const leaver = "cd".repeat(16);
    const peer = await announceHandOver(entry, leaver);
    let result: Observation | undefined;
    await waitUntil(async () => {
      result = await observe(
        fleet,
        () => sendProtectedCall(entry, { key: `${leaver}.zz.one` }),
      );
      return result.answer.reason === "hand-over-incomplete";
    });
    await peer.close();
    if (result === undefined) throw new Error("No answer was received");
    return result;
  },
  "content-mismatch": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    await sendProtectedCall(fleet.entries[0], { key });
    return await observe(
      fleet,
      (entry) => sendProtectedCall(entry, { key, body: "other" }),
    );
  },
  "answer-lost": (fleet) =>
    withBehaviour(fleet, {
      behaviour: { losesAnswers: true },
      restored: { losesAnswers: false },
      scenario: async () => {
        const key = await mintKeyOwnedBy(fleet.entries[0]);
        return await observe(
          fleet,
          (entry) => sendProtectedCall(entry, { key }),
        );
      },
    }),
  "deadline-exceeded": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    return await observe(fleet, (entry) =>
      sendProtectedCall(entry, {
        key,
        path: "/desk/slow?milliseconds=800",
        deadlineMilliseconds: 200,
      }));
  },
  "answer-not-kept": async (fleet) => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    const path = "/desk/long?bytes=200000";
    const first = await sendProtectedCall(fleet.entries[0], { key, path });
    expect(first.body.length).toBe(200_000);
    return await observe(
      fleet,
      (entry) => sendProtectedCall(entry, { key, path }),
    );
  },
};

describe("a refusal that a backend server sends once more", () => {
  let fleet: Fleet;
  afterEach(() => fleet.stop());

  test("refuses no call that runs on the same connection", async () => {
    fleet = await deploy({
      entries: 1,
      backends: 1,
      behaviour: { repeatsRefusals: true },
    });
    const [entry] = fleet.entries;
    const [{ address }] = fleet.backends;
    for (let count = 0; count < 5; count++) {
      await fleet.setBehaviour(address, { queueLength: 0 });
      const refusedKey = await mintKeyOwnedBy(entry);
      const refused = await sendProtectedCall(entry, { key: refusedKey });
      expect(refused.outcome).toBe("not-run");
      await fleet.setBehaviour(address, { queueLength: 100 });
      const key = await mintKeyOwnedBy(entry);
      const answer = await sendProtectedCall(entry, { key });
      expect(await fleet.countRuns(key)).toBe(1);
      expect(answer.outcome).toBe("answered");
    }
  });
});

describe("a refusal reports its reason and outcome correctly", () => {
  let fleet: Fleet;
  const closedRelay = new Relay();

  beforeAll(async () => {
    const unreachableAddress = await closedRelay.listen();
    closedRelay.close();
    fleet = await deploy({
      entries: 1,
      backends: 2,
      backendsPerProcess: 1,
      settings: { calls: { quarantineMilliseconds: 1_000 } },
      extraRows: [
        serviceRuleRow("empty"),
        serviceRuleRow("gone"),
        {
          intention: "dead-server",
          revision: 1,
          kind: "backend-server",
          service: "gone",
          address: unreachableAddress,
          failure_domain: "a",
          slots: 1,
          connections: 100,
        },
      ],
    });
  });
  afterAll(() => fleet.stop());

  for (const reason of Object.keys(SCENARIOS) as RefusalReason[]) {
    test(reason, async () => {
      const { answer, runs } = await SCENARIOS[reason](fleet);
      const rule = REFUSAL_RULES[reason];
      expect([answer.reason, answer.outcome]).toEqual([reason, rule.outcome]);
      if (rule.outcome === "not-run") expect(runs).toBe(0);
      await waitUntil(async () =>
        (await readEntryEndpoints(fleet.entries[0])).length > 0
      );
    });
  }

  test("the ledgers still respond at the end and have counted arrivals", async () => {
    expect(await sumLedgerCounts(fleet, "arrivals")).toBeGreaterThan(0);
  });
});
