/**
 * Measures the time that an entry adds to a call, against a direct call and
 * against a bare forwarder, in one run and on one backend server.
 *
 * `node packages/load/dist/added_time.js --rates 250,500,1000`
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { cac } from "cac";
import { Child } from "@marigoldford/stand_ins/child";
import { Fleet } from "@marigoldford/stand_ins/fleet";
import {
  deploymentRows,
  formatSheet,
} from "@marigoldford/stand_ins/sheet_format";
import { median } from "./bench_table.ts";
import { LoadGenerator, type LoadResult } from "./load_generator.ts";
import { processorMilliseconds, residentBytes } from "./process_usage.ts";

const FORWARDER_SCRIPT = fileURLToPath(
  new URL("bare_forwarder.js", import.meta.url),
);
const MOST_ADDED_MILLISECONDS = 1.2;
const BACKENDS = 4;
/** Each path is run before it is measured, until its code is compiled. */
const WARM_UP_SECONDS = 6;
const UNBOUNDED = 1_000_000;

type Flags = {
  readonly rates: string;
  readonly seconds: number;
  readonly rounds: number;
  readonly check: boolean;
};

type Path = { readonly name: string; readonly address: string };

function readFlags(): Flags {
  const program = cac("added-time");
  program.option("--rates <list>", "Calls a second", { default: "250,500" });
  program.option("--seconds <count>", "Seconds a path", { default: 5 });
  program.option("--rounds <count>", "Rounds; the median counts", {
    default: 3,
  });
  program.option("--check", "Fail beyond the bound", { default: false });
  return program.parse().options as unknown as Flags;
}

function measure(
  path: Path,
  load: { readonly rate: number; readonly seconds: number; seed: number },
): Promise<LoadResult> {
  return new LoadGenerator({
    addresses: [path.address],
    path: "/desk",
    callsPerSecond: load.rate,
    seconds: load.seconds,
    warmUpSeconds: 2,
    deadlineMilliseconds: 5_000,
    seed: load.seed,
  }).run();
}

async function startPaths(fleet: Fleet): Promise<[Path[], Child]> {
  await fleet.startPlatform();
  await fleet.startBackends(
    Array.from({ length: BACKENDS }, () => ({
      service: "desk",
      failureDomain: "a",
      connections: UNBOUNDED,
      behaviour: { slots: 50, serviceMilliseconds: 2 },
    })),
    1,
  );
  await fleet.publish(formatSheet(deploymentRows(fleet.backends)));
  const entry = await fleet.startEntry("a");
  const [{ address: backend }] = fleet.backends;
  const forwarder = new Child({
    script: FORWARDER_SCRIPT,
    scriptArguments: [backend],
  });
  const line = await forwarder.waitUntilListening();
  return [[
    { name: "direct", address: backend },
    { name: "bare forwarder", address: String(line.address) },
    { name: "entry", address: entry.callAddress },
  ], forwarder];
}

async function main(): Promise<void> {
  const flags = readFlags();
  const fleet = new Fleet();
  const [paths, forwarder] = await startPaths(fleet);
  process.stdout.write(
    "| calls/s | path | p50 ms | p99 ms | p99 added ms |\n" +
      "| --- | --- | --- | --- | --- |\n",
  );
  const rates = String(flags.rates).split(",").map(Number);
  for (const path of paths) {
    await measure(path, { rate: rates[0], seconds: WARM_UP_SECONDS, seed: 0 });
  }
  for (const rate of rates) {
    const direct: LoadResult[] = [];
    for (const path of paths) {
      const results: LoadResult[] = [];
      for (let round = 1; round <= flags.rounds; round++) {
        const load = { rate, seconds: flags.seconds, seed: round };
        results.push(await measure(path, load));
      }
      if (path.name === "direct") direct.push(...results);
      const p99 = median(results.map((result) => result.p99Milliseconds));
      const p50 = median(results.map((result) => result.p50Milliseconds));
      const base = median(direct.map((result) => result.p99Milliseconds));
      const added = p99 - base;
      process.stdout.write(
        `| ${rate} | ${path.name} | ${p50.toFixed(2)} | ${p99.toFixed(2)} ` +
          `| ${added.toFixed(2)} |\n`,
      );
      if (added > MOST_ADDED_MILLISECONDS && flags.check) process.exitCode = 1;
    }
  }
  const entryPid = fleet.entries[0].child.pid;
  process.stdout.write(
    `resident: bare forwarder ${megabytes(residentBytes(forwarder.pid))} MB, ` +
      `entry ${megabytes(residentBytes(entryPid))} MB\n` +
      `processor time so far: bare forwarder ` +
      `${processorMilliseconds(forwarder.pid)} ms, entry ` +
      `${processorMilliseconds(entryPid)} ms\n`,
  );
  await forwarder.kill();
  await fleet.stop();
}

function megabytes(bytes: number): string {
  return (bytes / 1_000_000).toFixed(1);
}

await main();
