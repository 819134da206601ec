/**
 * Guards against a request that crashes one backend server after another, a
 * shutdown that breaks off calls, and retries that amplify an outage.
 */
import { afterEach, describe, expect, test } from "vitest";
import { MarigoldfordClient } from "@marigoldford/client/client";
import type { Fleet } from "@marigoldford/stand_ins/fleet";
import { setTimeout as sleep } from "node:timers/promises";
import {
  mintKeyOwnedBy,
  readCounter,
} from "@marigoldford/stand_ins/entry_requests";
import {
  deploy,
  failureDomainOf,
  sendIdempotentCall,
  sendProtectedCall,
  sumLedgerCounts,
} from "./deployment.ts";

const MAXIMUM_CRASHES = 3;
const MAXIMUM_ATTEMPTS_PER_CALL = 1.1;

describe("a request that crashes backend servers", () => {
  let fleet: Fleet;
  afterEach(() => fleet.stop());

  test("is stopped after at most 3 crashes, whichever entry it is resent through", async () => {
    fleet = await deploy({
      entries: 4,
      backends: 8,
      behaviour: { crashOn: "poison" },
    });
    let harmlessAnswers = 0;
    let hasEnded = false;
    const backgroundCalls = fleet.entries.map(async (entry, index) => {
      for (let call = 0; !hasEnded; call++) {
        const path = `/desk/innocent/${index}/${call % 3}`;
        const answer = await sendIdempotentCall(entry, path);
        expect(answer.reason).not.toBe("quarantined");
        harmlessAnswers += 1;
      }
    });
    for (let resend = 0; resend < 20; resend++) {
      const entry = fleet.entries[resend % fleet.entries.length];
      await sendIdempotentCall(entry, "/desk/poison").catch(() => undefined);
      await sleep(20);
    }
    hasEnded = true;
    await Promise.all(backgroundCalls);
    expect(harmlessAnswers).toBeGreaterThan(50);
    const crashes = await sumLedgerCounts(fleet, "crashes");
    expect(crashes).toBeGreaterThan(0);
    expect(crashes).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test("never crashes a second backend server if it is protected", async () => {
    fleet = await deploy({
      entries: 2,
      backends: 4,
      behaviour: { crashOn: "poison" },
    });
    const [owner, other] = fleet.entries;
    const key = await mintKeyOwnedBy(owner);
    const path = "/desk/poison";
    expect((await sendProtectedCall(owner, { key, path })).outcome).toBe(
      "unknown",
    );
    expect((await sendProtectedCall(other, { key, path })).outcome).toBe(
      "unknown",
    );
    expect(await sumLedgerCounts(fleet, "crashes")).toBe(1);
  });
});

describe("shutdown and retry budgets", () => {
  let fleet: Fleet;
  afterEach(() => fleet.stop());

  test("a graceful shutdown breaks off no call", async () => {
    fleet = await deploy({ entries: 3, backends: 4 });
    const [leaver, ...remaining] = fleet.entries;
    const client = new MarigoldfordClient({
      seeds: fleet.entries.map(({ callAddress }) => callAddress),
    });
    const failures: string[] = [];
    let hasEnded = false;
    const callers = Array.from({ length: 8 }, async (_, caller) => {
      for (let call = 0; !hasEnded; call++) {
        const method = caller % 2 === 0 ? "GET" : "POST";
        const path = `/desk/${caller}/${call}`;
        const answer = await client.call({ method, path, body: "b" });
        if (answer.isErr()) failures.push(JSON.stringify(answer.error));
      }
    });
    const longCall = sendIdempotentCall(
      leaver,
      "/desk/long?milliseconds=3000",
      {
        "Marigoldford-Deadline-Milliseconds": "10000",
      },
    );
    await sleep(500);
    leaver.child.signal("SIGTERM");
    expect(await leaver.child.exited).toBe(0);
    expect((await longCall).outcome).toBe("answered");
    await sleep(500);
    hasEnded = true;
    await Promise.all(callers);
    client.close();
    expect(failures).toEqual([]);
    expect(remaining).toHaveLength(2);
  });

  test("a graceful shutdown cuts no call that arrives late in the grace period", async () => {
    fleet = await deploy({
      entries: 2,
      backends: 2,
      settings: {
        calls: { answerValidMilliseconds: 400 },
        shutdown: { graceMilliseconds: 1_500, drainMilliseconds: 500 },
      },
    });
    const [leaver] = fleet.entries;
    const key = await mintKeyOwnedBy(leaver);
    leaver.child.signal("SIGTERM");
    await sleep(1_000);
    const path = "/desk/late?milliseconds=2000";
    const answers = await Promise.all([
      sendIdempotentCall(leaver, path, {
        "Marigoldford-Deadline-Milliseconds": "8000",
      }),
      sendProtectedCall(leaver, { key, path, deadlineMilliseconds: 8_000 }),
    ]);
    for (const answer of answers) {
      expect(answer.outcome).toBe("not-run");
      expect(answer.reason).toBe("entry-leaving");
    }
    expect(await fleet.countRuns(key)).toBe(0);
    expect(await leaver.child.exited).toBe(0);
  });

  test("at most 1.1 attempts per call while whole failure domains fail", async () => {
    fleet = await deploy({
      entries: 2,
      backends: 8,
      backendsPerProcess: 1,
    });
    const pausedBackends = fleet.backends.filter(({ failureDomain }) =>
      failureDomain === failureDomainOf(0)
    );
    const silentBackends = fleet.backends.filter(({ failureDomain }) =>
      failureDomain === failureDomainOf(1)
    );
    const callsBefore = 200;
    await callAll(fleet, callsBefore);
    for (const { child } of pausedBackends) child.signal("SIGSTOP");
    for (const { address } of silentBackends) {
      await fleet.setBehaviour(address, { isSilent: true });
    }
    const attemptsBefore = await countAttempts(fleet);
    const calls = 600;
    await callAll(fleet, calls);
    const attempts = await countAttempts(fleet) - attemptsBefore;
    for (const { child } of pausedBackends) child.signal("SIGCONT");
    expect(attempts / calls).toBeLessThanOrEqual(MAXIMUM_ATTEMPTS_PER_CALL);
  });
});

async function callAll(fleet: Fleet, calls: number): Promise<void> {
  const running = Array.from({ length: calls }, async (_, call) => {
    await sleep(call * 5);
    const entry = fleet.entries[call % fleet.entries.length];
    await sendIdempotentCall(entry, `/desk/${call}`, {
      "Marigoldford-Deadline-Milliseconds": "500",
    });
  });
  await Promise.all(running);
}

/** Sums the attempts in the metrics of all entries. */
async function countAttempts(fleet: Fleet): Promise<number> {
  let sum = 0;
  for (const entry of fleet.entries) {
    const { body } = await sendIdempotentCall(entry, "/marigoldford/metrics");
    sum += readCounter(body, "attempts");
  }
  return sum;
}
