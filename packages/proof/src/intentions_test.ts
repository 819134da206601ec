import { afterEach, describe, expect, test } from "vitest";
import { Fleet, type RunningEntry } from "@marigoldford/stand_ins/fleet";
import {
  deploymentRows,
  formatSheet,
  type SheetRowValues,
} from "@marigoldford/stand_ins/sheet_format";
import { setTimeout as sleep } from "node:timers/promises";
import { deploy, sendIdempotentCall, waitUntil } from "./deployment.ts";

const IN_FORCE_MILLISECONDS = 3_000;

const SILENCE_MILLISECONDS = 5_000;
/** Longest watch; entries that began as watchers have stopped after it. */
const WATCH_MILLISECONDS = 10_000;

type WatcherView = { readonly platform: { readonly isWatcher: boolean } };
type StatusView = {
  readonly intentions: {
    readonly inForce: readonly {
      readonly intention: string;
      readonly revision: number;
      readonly content: { readonly value?: number };
    }[];
    readonly refusedRows: readonly {
      readonly intention: string;
      readonly reason: string;
    }[];
    readonly sheetFaults: readonly {
      readonly rows: readonly { readonly line: number; column: string }[];
    }[];
  };
};

/** A limit row: the operator's fix in these tests. */
function fix(revision: number, value: number): SheetRowValues {
  return {
    intention: "fix",
    revision,
    kind: "limit",
    service: "desk",
    name: "queue-length",
    value,
  };
}

function sheetWith(fleet: Fleet, ...lines: readonly SheetRowValues[]): string {
  return formatSheet([...deploymentRows(fleet.backends), ...lines]);
}

async function fixAt(
  fleet: Fleet,
  entry: RunningEntry,
): Promise<{ revision: number; value: number | undefined } | undefined> {
  const { intentions } = await fleet.readStatus<StatusView>(entry);
  const row = intentions.inForce.find(({ intention }) => intention === "fix");
  if (row === undefined) return undefined;
  return { revision: row.revision, value: row.content.value };
}

async function allHave(
  fleet: Fleet,
  revision: number,
  value: number,
): Promise<boolean> {
  for (const entry of fleet.entries) {
    const held = await fixAt(fleet, entry);
    if (held?.revision !== revision || held.value !== value) return false;
  }
  return true;
}

async function refusedEverywhere(
  fleet: Fleet,
  reason: string,
): Promise<boolean> {
  for (const entry of fleet.entries) {
    const { intentions } = await fleet.readStatus<StatusView>(entry);
    const isNamed = intentions.refusedRows.some((row) =>
      row.intention === "fix" && row.reason === reason
    );
    if (!isNamed) return false;
  }
  return true;
}

describe("an accepted change is in force everywhere and never reverts", () => {
  let fleet: Fleet;
  let second: Fleet | undefined;
  afterEach(async () => {
    await fleet.stop();
    await second?.stop();
    second = undefined;
  });

  test("within 3 s, over yesterday's export and a sheet without it", async () => {
    fleet = await deploy({ entries: 4, backends: 2 });
    await fleet.publish(sheetWith(fleet, fix(1, 10)));
    await waitUntil(() => allHave(fleet, 1, 10), IN_FORCE_MILLISECONDS);
    await fleet.publish(sheetWith(fleet, fix(2, 20)));
    await waitUntil(() => allHave(fleet, 2, 20), IN_FORCE_MILLISECONDS);
    await fleet.publish(sheetWith(fleet, fix(1, 10)));
    await waitUntil(() => refusedEverywhere(fleet, "older-revision"));
    await fleet.publish(sheetWith(fleet));
    await sleep(500);
    expect(await allHave(fleet, 2, 20)).toBe(true);
  });

  test("two operators race: the first stays, the second is named", async () => {
    fleet = await deploy({ entries: 3, backends: 2 });
    await Promise.all([
      fleet.publish(sheetWith(fleet, fix(2, 20))),
      sleep(5).then(() => fleet.publish(sheetWith(fleet, fix(2, 30)))),
    ]);
    await waitUntil(() => refusedEverywhere(fleet, "lost-race"));
    expect(await allHave(fleet, 2, 20)).toBe(true);
  });

  test("replaced one after another while the platform is stale", async () => {
    fleet = await deploy({ entries: 3, backends: 2 });
    await fleet.publish(sheetWith(fleet, fix(1, 10)));
    await waitUntil(() => allHave(fleet, 1, 10));
    await fleet.sendPlatformCommand({ kind: "mode", mode: "stale" });
    second = await freshPlatform(sheetWith(fleet, fix(2, 20)));
    const reader = await fleet.startEntry("d", {
      platform: { url: `http://${second.platformAddress}` },
    });
    expect((await fixAt(fleet, reader))?.revision).toBe(2);
    await waitUntil(() => allHave(fleet, 2, 20), IN_FORCE_MILLISECONDS);
    for (let round = 0; round < 4; round++) {
      const [oldest] = fleet.entries.splice(0, 1);
      await oldest.child.kill();
      const fresh = await fleet.startEntry("a");
      expect(await fixAt(fleet, fresh)).toEqual({ revision: 2, value: 20 });
    }
    expect(await allHave(fleet, 2, 20)).toBe(true);
  });

  test("a starting entry learns from peers while the platform is down", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    await fleet.publish(sheetWith(fleet, fix(2, 20)));
    await waitUntil(() => allHave(fleet, 2, 20));
    await fleet.sendPlatformCommand({ kind: "mode", mode: "down" });
    await sleep(300);
    const fresh = await fleet.startEntry("c");
    expect(await fixAt(fleet, fresh)).toEqual({ revision: 2, value: 20 });
    for (const entry of fleet.entries) {
      expect((await sendIdempotentCall(entry, "/desk/1")).outcome).toBe(
        "answered",
      );
    }
    expect(await allHave(fleet, 2, 20)).toBe(true);
  });

  test("an entry paused through a change catches up after waking", async () => {
    fleet = await deploy({ entries: 3, backends: 2 });
    const [sleeper] = fleet.entries;
    sleeper.child.signal("SIGSTOP");
    await fleet.publish(sheetWith(fleet, fix(2, 20)));
    await sleep(4_000);
    sleeper.child.signal("SIGCONT");
    await waitUntil(() => allHave(fleet, 2, 20), IN_FORCE_MILLISECONDS);
  });

  test("entries that did not watch take over from killed watchers", async () => {
    fleet = await deploy({ entries: 1, backends: 2 });
    for (let entry = 0; entry < 3; entry++) await fleet.startEntry("a");
    await sleep(WATCH_MILLISECONDS + 1_000);
    for (const entry of [...fleet.entries]) {
      const { platform } = await fleet.readStatus<WatcherView>(entry);
      if (!platform.isWatcher) continue;
      await entry.child.kill();
      fleet.entries.splice(fleet.entries.indexOf(entry), 1);
    }
    expect(fleet.entries).toHaveLength(2);
    await sleep(SILENCE_MILLISECONDS + 1_500);
    await fleet.publish(sheetWith(fleet, fix(2, 20)));
    await waitUntil(() => allHave(fleet, 2, 20), IN_FORCE_MILLISECONDS);
  });

  test("good rows of a sheet with bad rows are in force", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const bad = { ...fix(1, 1), intention: "bad", value: "many" };
    await fleet.publish(sheetWith(fleet, bad, fix(2, 20)));
    await waitUntil(() => allHave(fleet, 2, 20), IN_FORCE_MILLISECONDS);
    const status = await fleet.readStatus<StatusView>(fleet.entries[0]);
    const faults = status.intentions.sheetFaults.flatMap(({ rows }) => rows);
    expect(faults).toHaveLength(1);
    expect(faults[0]).toMatchObject({ line: 5, column: "value" });
  });
});

async function freshPlatform(sheet: string): Promise<Fleet> {
  const other = new Fleet();
  await other.startPlatform();
  for (let version = 0; version < 5; version++) await other.publish(sheet);
  return other;
}
