/**
 * Measures what control costs an idle entry: processor time, bytes and memory
 * as entries, targets, services and changes grow.
 *
 * `node packages/load/dist/control_cost.js`
 */
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import { cac } from "cac";
import { Fleet } from "@marigoldford/stand_ins/fleet";
import {
  deploymentRows,
  formatSheet,
  type SheetRowValues,
} from "@marigoldford/stand_ins/sheet_format";
import { readJson } from "@marigoldford/stand_ins/http_requests";
import { processorMilliseconds, residentBytes } from "./process_usage.ts";

type Size = {
  readonly entries: number;
  readonly backends: number;
  readonly services: number;
  readonly changesPerMinute: number;
};

/** One quantity grows at a time, from the same middle. */
const SIZES: readonly Size[] = [
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
const STAND_INS_PER_PROCESS = 160;
const MILLISECONDS_PER_MINUTE = 60_000;

type StatusView = {
  readonly platform: { readonly reads: number };
  readonly traffic: readonly { readonly bytes: number }[];
};

type Reading = {
  readonly processor: number;
  readonly bytes: number;
  readonly reads: number;
};

async function read(fleet: Fleet): Promise<Reading> {
  const total = { processor: 0, bytes: 0, reads: 0 };
  for (const entry of fleet.entries) {
    total.processor += processorMilliseconds(entry.child.pid);
    const status = await readJson<StatusView>(
      entry.callAddress,
      "/marigoldford/status",
    );
    for (const { bytes } of status.traffic) total.bytes += bytes;
    total.reads += status.platform.reads;
  }
  return total;
}

/** Publishes changes of one row while the clock runs. */
async function letTimePass(
  fleet: Fleet,
  context: { readonly size: Size; readonly lines: SheetRowValues[] },
): Promise<void> {
  const { size, lines } = context;
  const endAt = performance.now() + MEASURE_MILLISECONDS;
  if (size.changesPerMinute === 0) return await pause(MEASURE_MILLISECONDS);
  const gap = MILLISECONDS_PER_MINUTE / size.changesPerMinute;
  for (let revision = 2; performance.now() + gap <= endAt; revision++) {
    await fleet.publish(formatSheet([{ ...lines[0], revision }, ...lines]));
    await pause(gap);
  }
  await pause(Math.max(0, endAt - performance.now()));
}

async function measure(size: Size): Promise<string> {
  const fleet = new Fleet();
  try {
    await fleet.startPlatform();
    await fleet.startBackends(
      Array.from({ length: size.backends }, (_, index) => ({
        service: `service-${index % size.services}`,
        failureDomain: `domain-${index % 4}`,
        behaviour: {},
      })),
      STAND_INS_PER_PROCESS,
    );
    const lines = deploymentRows(fleet.backends);
    await fleet.publish(formatSheet(lines));
    const starting = Array.from(
      { length: size.entries },
      (_, index) => fleet.startEntry(`domain-${index % 4}`),
    );
    await Promise.all(starting);
    await pause(SETTLE_MILLISECONDS);
    const before = await read(fleet);
    await letTimePass(fleet, { size, lines });
    const after = await read(fleet);
    return describe(fleet, { size, before, after });
  } finally {
    await fleet.stop();
  }
}

function describe(
  fleet: Fleet,
  run: {
    readonly size: Size;
    readonly before: Reading;
    readonly after: Reading;
  },
): string {
  const { size, before, after } = run;
  const share = (after.processor - before.processor) / MEASURE_MILLISECONDS /
    size.entries;
  const kilobytes = (after.bytes - before.bytes) / MEASURE_MILLISECONDS /
    size.entries;
  const reads = (after.reads - before.reads) * 1_000 / MEASURE_MILLISECONDS;
  const resident = fleet.entries.map(({ child }) => residentBytes(child.pid));
  const megabytes = resident.reduce((sum, bytes) => sum + bytes, 0) /
    size.entries / 1_000_000;
  return [
    "",
    size.entries,
    size.backends,
    size.services,
    size.changesPerMinute,
    `${(share * 100).toFixed(2)}%`,
    kilobytes.toFixed(2),
    megabytes.toFixed(1),
    reads.toFixed(1),
    "",
  ].join(" | ").trim();
}

async function main(): Promise<void> {
  const program = cac("control-cost");
  program.option("--most <entries>", "Skip larger fleets", { default: 40 });
  const flags = program.parse().options as unknown as { most: number };
  process.stdout.write(
    "| entries | targets | services | changes/min | processor | KB/s sent " +
      "and received | resident MB | platform reads/s, all |\n" +
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n",
  );
  for (const size of SIZES) {
    if (size.entries > flags.most) continue;
    process.stdout.write(await measure(size) + "\n");
  }
}

await main();
