/**
 * Measures the time that an entry adds to a call, compared in the same run with
 * direct calls to a backend server and with calls through a bare forwarder.
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
const ADDED_BOUND_MILLISECONDS = 1.2;
const BACKEND_COUNT = 4;
/** Load on each path before it is measured, so that its code is JIT-compiled. */
const WARM_UP_SECONDS = 6;
const UNBOUNDED_CONNECTIONS = 1_000_000;

type Flags = {
  readonly rates: string;
  readonly seconds: number;
  readonly rounds: number;
  readonly check: boolean;
};

type CallPath = { readonly name: string; readonly address: string };

function readFlags(): Flags {
  const program = cac("added-time");
  program.option("--rates <list>", "Calls per second", { default: "250,500" });
  program.option("--seconds <count>", "Measured seconds per path", {
    default: 5,
  });
  program.option("--rounds <count>", "Rounds per path; their median is shown", {
    default: 3,
  });
  program.option("--check", "Exit with 1 if the bound is exceeded", {
    default: false,
  });
  return program.parse().options as unknown as Flags;
}

function measure(
  path: CallPath,
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

async function startPaths(fleet: Fleet): Promise<[CallPath[], Child]> {
  await fleet.startPlatform();
  await fleet.startBackends(
    Array.from({ length: BACKEND_COUNT }, () => ({
      service: "desk",
      failureDomain: "a",
      connections: UNBOUNDED_CONNECTIONS,
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
    const directResults: LoadResult[] = [];
    for (const path of paths) {
      const results: LoadResult[] = [];
      for (let round = 1; round <= flags.rounds; round++) {
        const load = { rate, seconds: flags.seconds, seed: round };
        results.push(await measure(path, load));
      }
      if (path.name === "direct") directResults.push(...results);
      const p99 = median(results.map((result) => result.p99Milliseconds));
      const p50 = median(results.map((result) => result.p50Milliseconds));
      const directP99 = median(
        directResults.map((result) => result.p99Milliseconds),
      );
      const added = p99 - directP99;
      process.stdout.write(
        `| ${rate} | ${path.name} | ${p50.toFixed(2)} | ${p99.toFixed(2)} ` +
          `| ${added.toFixed(2)} |\n`,
      );
      if (added > ADDED_BOUND_MILLISECONDS && flags.check) process.exitCode = 1;
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
