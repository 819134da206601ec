/**
 * Measures the overhead of the control plane in an idle entry: processor time,
 * network traffic and memory, for growing numbers of entries, backend servers,
 * services and sheet changes.
 *
 * `node packages/load/dist/control_cost.js`
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { cac } from "cac";
import { Fleet } from "@marigoldford/stand_ins/fleet";
import {
  deploymentRows,
  formatSheet,
  type SheetRowValues,
} from "@marigoldford/stand_ins/sheet_format";
import { readJson } from "@marigoldford/stand_ins/http_requests";
import { processorMilliseconds, residentBytes } from "./process_usage.ts";

type FleetSize = {
  readonly entries: number;
  readonly backends: number;
  readonly services: number;
  readonly changesPerMinute: number;
};

/** Varies one quantity at a time from a medium fleet; the last is the largest. */
const FLEET_SIZES: readonly FleetSize[] = [
  { entries: 3, backends: 40, services: 5, changesPerMinute: 0 },
  { entries: 9, backends: 40, services: 5, changesPerMinute: 0 },
  { entries: 18, backends: 40, services: 5, changesPerMinute: 0 },
  { entries: 40, backends: 40, services: 5, changesPerMinute: 0 },
  { entries: 9, backends: 200, services: 5, changesPerMinute: 0 },
  { entries: 9, backends: 630, services: 5, changesPerMinute: 0 },
  { entries: 9, backends: 200, services: 30, changesPerMinute: 0 },
  { entries: 9, backends: 200, services: 100, changesPerMinute: 0 },
  { entries: 9, backends: 200, services: 5, changesPerMinute: 6 },
  { entries: 9, backends: 200, services: 5, changesPerMinute: 30 },
  { entries: 40, backends: 630, services: 100, changesPerMinute: 6 },
];

const SETTLE_MILLISECONDS = 6_000;
const MEASURE_MILLISECONDS = 12_000;
const BACKENDS_PER_PROCESS = 160;
const MILLISECONDS_PER_MINUTE = 60_000;

type EntryStatus = {
  readonly platform: { readonly reads: number };
  readonly traffic: readonly { readonly bytes: number }[];
};

type Usage = {
  readonly processorMilliseconds: number;
  readonly bytes: number;
  readonly reads: number;
};

async function readUsage(fleet: Fleet): Promise<Usage> {
  const total = { processorMilliseconds: 0, bytes: 0, reads: 0 };
  for (const entry of fleet.entries) {
    total.processorMilliseconds += processorMilliseconds(entry.child.pid);
    const status = await readJson<EntryStatus>(
      entry.callAddress,
      "/marigoldford/status",
    );
    for (const { bytes } of status.traffic) total.bytes += bytes;
    total.reads += status.platform.reads;
  }
  return total;
}

/** Publishes changes of one row at regular intervals during the measurement. */
async function publishChanges(
  fleet: Fleet,
  context: { readonly size: FleetSize; readonly rows: SheetRowValues[] },
): Promise<void> {
  const { size, rows } = context;
  const endAt = performance.now() + MEASURE_MILLISECONDS;
  if (size.changesPerMinute === 0) return await sleep(MEASURE_MILLISECONDS);
  const intervalMilliseconds = MILLISECONDS_PER_MINUTE / size.changesPerMinute;
  for (
    let revision = 2;
    performance.now() + intervalMilliseconds <= endAt;
    revision++
  ) {
    await fleet.publish(formatSheet([{ ...rows[0], revision }, ...rows]));
    await sleep(intervalMilliseconds);
  }
  await sleep(Math.max(0, endAt - performance.now()));
}

async function measure(size: FleetSize): Promise<string> {
  const fleet = new Fleet();
  try {
    await fleet.startPlatform();
    await fleet.startBackends(
      Array.from({ length: size.backends }, (_, index) => ({
        service: `service-${index % size.services}`,
        failureDomain: `domain-${index % 4}`,
        behaviour: {},
      })),
      BACKENDS_PER_PROCESS,
    );
    const rows = deploymentRows(fleet.backends);
    await fleet.publish(formatSheet(rows));
    const starting = Array.from(
      { length: size.entries },
      (_, index) => fleet.startEntry(`domain-${index % 4}`),
    );
    await Promise.all(starting);
    await sleep(SETTLE_MILLISECONDS);
    const before = await readUsage(fleet);
    await publishChanges(fleet, { size, rows });
    const after = await readUsage(fleet);
    return formatRow(fleet, { size, before, after });
  } finally {
    await fleet.stop();
  }
}

function formatRow(
  fleet: Fleet,
  run: {
    readonly size: FleetSize;
    readonly before: Usage;
    readonly after: Usage;
  },
): string {
  const { size, before, after } = run;
  const processorShare =
    (after.processorMilliseconds - before.processorMilliseconds) /
    MEASURE_MILLISECONDS /
    size.entries;
  const kilobytesPerSecond = (after.bytes - before.bytes) /
    MEASURE_MILLISECONDS /
    size.entries;
  const readsPerSecond = (after.reads - before.reads) * 1_000 /
    MEASURE_MILLISECONDS;
  const resident = fleet.entries.map(({ child }) => residentBytes(child.pid));
  const meanMegabytes = resident.reduce((sum, bytes) => sum + bytes, 0) /
    size.entries / 1_000_000;
  return [
    "",
    size.entries,
    size.backends,
    size.services,
    size.changesPerMinute,
    `${(processorShare * 100).toFixed(2)}%`,
    kilobytesPerSecond.toFixed(2),
    meanMegabytes.toFixed(1),
    readsPerSecond.toFixed(1),
    "",
  ].join(" | ").trim();
}

async function main(): Promise<void> {
  const program = cac("control-cost");
  program.option("--most <entries>", "Skip fleets with more entries", {
    default: 40,
  });
  const flags = program.parse().options as unknown as { most: number };
  process.stdout.write(
    "| entries | backend servers | services | changes/min | processor | KB/s sent " +
      "and received | resident MB | platform reads/s of all entries |\n" +
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n",
  );
  for (const size of FLEET_SIZES) {
    if (size.entries > flags.most) continue;
    process.stdout.write(await measure(size) + "\n");
  }
}

await main();
