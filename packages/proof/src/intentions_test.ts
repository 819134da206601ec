/**
 * Guards against an accepted change that an entry misses or later loses because
 * of a stale platform, an outdated or incomplete sheet, a concurrent edit, a
 * pause or a replacement of entries.
 */
import { afterEach, describe, expect, test } from "vitest";
import { Fleet, type RunningEntry } from "@marigoldford/stand_ins/fleet";
import {
  deploymentRows,
  formatSheet,
  type SheetRowValues,
} from "@marigoldford/stand_ins/sheet_format";
import { setTimeout as sleep } from "node:timers/promises";
import { deploy, sendIdempotentCall, waitUntil } from "./deployment.ts";

/** The time within which a change must reach every entry. */
const PROPAGATION_TIMEOUT_MILLISECONDS = 3_000;
/** An entry whose heartbeats stop counts as failed after this time. */
const FAILURE_TIMEOUT_MILLISECONDS = 5_000;
/**
 * Maximum duration of a watch request. An entry that watches only because it
 * does not know its peers yet has stopped watching after this time.
 */
const MAXIMUM_WATCH_MILLISECONDS = 10_000;

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

/** The row that the tests change: a limit set by an operator. */
function fixRow(revision: number, value: number): SheetRowValues {
  return {
    intention: "fix",
    revision,
    kind: "limit",
    service: "desk",
    name: "queue-length",
    value,
  };
}

function formatDeploymentSheet(
  fleet: Fleet,
  ...rows: readonly SheetRowValues[]
): string {
  return formatSheet([...deploymentRows(fleet.backends), ...rows]);
}

async function readFix(
  fleet: Fleet,
  entry: RunningEntry,
): Promise<{ revision: number; value: number | undefined } | undefined> {
  const { intentions } = await fleet.readStatus<StatusView>(entry);
  const row = intentions.inForce.find(({ intention }) => intention === "fix");
  if (row === undefined) return undefined;
  return { revision: row.revision, value: row.content.value };
}

async function allEntriesHold(
  fleet: Fleet,
  revision: number,
  value: number,
): Promise<boolean> {
  for (const entry of fleet.entries) {
    const held = await readFix(fleet, entry);
    if (held?.revision !== revision || held.value !== value) return false;
  }
  return true;
}

async function allEntriesRefused(
  fleet: Fleet,
  reason: string,
): Promise<boolean> {
  for (const entry of fleet.entries) {
    const { intentions } = await fleet.readStatus<StatusView>(entry);
    const isListed = intentions.refusedRows.some((row) =>
      row.intention === "fix" && row.reason === reason
    );
    if (!isListed) return false;
  }
  return true;
}

describe("an accepted change takes effect on every entry and never reverts", () => {
  let fleet: Fleet;
  let secondPlatform: Fleet | undefined;
  afterEach(async () => {
    await fleet.stop();
    await secondPlatform?.stop();
    secondPlatform = undefined;
  });

  test("within 3 s, despite an older revision and a sheet without the row", async () => {
    fleet = await deploy({ entries: 4, backends: 2 });
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(1, 10)));
    await waitUntil(
      () => allEntriesHold(fleet, 1, 10),
      PROPAGATION_TIMEOUT_MILLISECONDS,
    );
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(2, 20)));
    await waitUntil(
      () => allEntriesHold(fleet, 2, 20),
      PROPAGATION_TIMEOUT_MILLISECONDS,
    );
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(1, 10)));
    await waitUntil(() => allEntriesRefused(fleet, "older-revision"));
    await fleet.publish(formatDeploymentSheet(fleet));
    await sleep(500);
    expect(await allEntriesHold(fleet, 2, 20)).toBe(true);
  });

  test("of two concurrent edits the first holds and the second is refused", async () => {
    fleet = await deploy({ entries: 3, backends: 2 });
    await Promise.all([
      fleet.publish(formatDeploymentSheet(fleet, fixRow(2, 20))),
      sleep(5).then(() =>
        fleet.publish(formatDeploymentSheet(fleet, fixRow(2, 30)))
      ),
    ]);
    await waitUntil(() => allEntriesRefused(fleet, "lost-race"));
    expect(await allEntriesHold(fleet, 2, 20)).toBe(true);
  });

  test("when entries are replaced in turn while their platform is stale", async () => {
    fleet = await deploy({ entries: 3, backends: 2 });
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(1, 10)));
    await waitUntil(() => allEntriesHold(fleet, 1, 10));
    await fleet.sendPlatformCommand({ kind: "mode", mode: "stale" });
    secondPlatform = await startSecondPlatform(
      formatDeploymentSheet(fleet, fixRow(2, 20)),
    );
    const reader = await fleet.startEntry("d", {
      platform: { url: `http://${secondPlatform.platformAddress}` },
    });
    expect((await readFix(fleet, reader))?.revision).toBe(2);
    await waitUntil(
      () => allEntriesHold(fleet, 2, 20),
      PROPAGATION_TIMEOUT_MILLISECONDS,
    );
    for (let round = 0; round < 4; round++) {
      const [oldest] = fleet.entries.splice(0, 1);
      await oldest.child.kill();
      const newEntry = await fleet.startEntry("a");
      expect(await readFix(fleet, newEntry)).toEqual({
        revision: 2,
        value: 20,
      });
    }
    expect(await allEntriesHold(fleet, 2, 20)).toBe(true);
  });

  test("a starting entry learns it from peers while the platform is down", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(2, 20)));
    await waitUntil(() => allEntriesHold(fleet, 2, 20));
    await fleet.sendPlatformCommand({ kind: "mode", mode: "down" });
    await sleep(300);
    const newEntry = await fleet.startEntry("c");
    expect(await readFix(fleet, newEntry)).toEqual({ revision: 2, value: 20 });
    for (const entry of fleet.entries) {
      expect((await sendIdempotentCall(entry, "/desk/1")).outcome).toBe(
        "answered",
      );
    }
    expect(await allEntriesHold(fleet, 2, 20)).toBe(true);
  });

  test("an entry that was paused during the change catches up on resuming", async () => {
    fleet = await deploy({ entries: 3, backends: 2 });
    const [pausedEntry] = fleet.entries;
    pausedEntry.child.signal("SIGSTOP");
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(2, 20)));
    await sleep(4_000);
    pausedEntry.child.signal("SIGCONT");
    await waitUntil(
      () => allEntriesHold(fleet, 2, 20),
      PROPAGATION_TIMEOUT_MILLISECONDS,
    );
  });

  test("when the watchers are killed, other entries take over", async () => {
    fleet = await deploy({ entries: 1, backends: 2 });
    for (let entry = 0; entry < 3; entry++) await fleet.startEntry("a");
    await sleep(MAXIMUM_WATCH_MILLISECONDS + 1_000);
    for (const entry of [...fleet.entries]) {
      const { platform } = await fleet.readStatus<WatcherView>(entry);
      if (!platform.isWatcher) continue;
      await entry.child.kill();
      fleet.entries.splice(fleet.entries.indexOf(entry), 1);
    }
    expect(fleet.entries).toHaveLength(2);
    await sleep(FAILURE_TIMEOUT_MILLISECONDS + 1_500);
    await fleet.publish(formatDeploymentSheet(fleet, fixRow(2, 20)));
    await waitUntil(
      () => allEntriesHold(fleet, 2, 20),
      PROPAGATION_TIMEOUT_MILLISECONDS,
    );
  });

  test("valid rows of a sheet take effect beside an invalid row", async () => {
    fleet = await deploy({ entries: 2, backends: 2 });
    const invalidRow = { ...fixRow(1, 1), intention: "bad", value: "many" };
    await fleet.publish(
      formatDeploymentSheet(fleet, invalidRow, fixRow(2, 20)),
    );
    await waitUntil(
      () => allEntriesHold(fleet, 2, 20),
      PROPAGATION_TIMEOUT_MILLISECONDS,
    );
    const status = await fleet.readStatus<StatusView>(fleet.entries[0]);
    const faults = status.intentions.sheetFaults.flatMap(({ rows }) => rows);
    expect(faults).toHaveLength(1);
    expect(faults[0]).toMatchObject({ line: 5, column: "value" });
  });
});

/** Starts a platform with a higher version than the first, which is at 2. */
async function startSecondPlatform(sheet: string): Promise<Fleet> {
  const platform = new Fleet();
  await platform.startPlatform();
  for (let version = 0; version < 5; version++) await platform.publish(sheet);
  return platform;
}
