/**
 * Compares the default policy with what users would pick instead.
 *
 * `npm run bench -- --users suelas --scenes steady-80,noisy --seeds 5`
 */
import { spawn } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { cac } from "cac";
import { type CellOptions, type CellResult, CONTENDERS } from "./cell.ts";
import type { Contender } from "./cell.ts";
import { checkTargets } from "./bench_targets.ts";
import { type BenchmarkRow, formatTable, summarize } from "./bench_table.ts";
import { SCENE_NAMES, type SceneName, type User } from "./scenes.ts";

const CELL_SCRIPT = fileURLToPath(new URL("cell_process.js", import.meta.url));
const PARALLEL_CELLS = 2;
const ATTEMPTS = 2;

type BenchFlags = {
  readonly users: string;
  readonly scenes: string;
  readonly contenders: string;
  readonly seeds: number;
  readonly seconds: number;
  readonly parallel: number;
  readonly check: boolean;
};

function readFlags(): BenchFlags {
  const program = cac("bench");
  program.option("--users <names>", "Users", {
    default: "suelas,wickramasinghe",
  });
  program.option("--scenes <names>", "Scenes", {
    default: SCENE_NAMES.join(","),
  });
  program.option("--contenders <names>", "Policies", {
    default: CONTENDERS.join(","),
  });
  program.option("--seeds <count>", "Seeds, from 1", { default: 5 });
  program.option("--seconds <count>", "Measured seconds a cell", {
    default: 8,
  });
  program.option("--parallel <count>", "Cells at a time", {
    default: PARALLEL_CELLS,
  });
  program.option("--check", "Fail when a target is missed", {
    default: false,
  });
  program.help();
  return program.parse().options as unknown as BenchFlags;
}

/** Seeds are outermost, so that each seed's policies run close in time. */
function listCells(flags: BenchFlags): CellOptions[] {
  const cells: CellOptions[] = [];
  for (let seed = 1; seed <= flags.seeds; seed++) {
    for (const user of flags.users.split(",") as User[]) {
      for (const scene of flags.scenes.split(",") as SceneName[]) {
        for (const contender of flags.contenders.split(",") as Contender[]) {
          cells.push({ user, scene, contender, seed, seconds: flags.seconds });
        }
      }
    }
  }
  return cells;
}

function spawnCell(cell: CellOptions): Promise<CellResult | undefined> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [CELL_SCRIPT, JSON.stringify(cell)], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    let text = "";
    child.stdout.on("data", (chunk) => text += String(chunk));
    child.once("exit", (code) => {
      resolve(code === 0 ? JSON.parse(text) as CellResult : undefined);
    });
  });
}

async function runAll(
  cells: readonly CellOptions[],
  parallel: number,
): Promise<CellResult[]> {
  const waiting = [...cells];
  const results: CellResult[] = [];
  async function work(): Promise<void> {
    for (;;) {
      const cell = waiting.shift();
      if (cell === undefined) return;
      for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
        const result = await spawnCell(cell);
        if (result !== undefined) {
          results.push(result);
          break;
        }
        process.stderr.write(`failed: ${JSON.stringify(cell)}\n`);
      }
      process.stderr.write(`${results.length} of ${cells.length} cells\n`);
    }
  }
  await Promise.all(Array.from({ length: parallel }, work));
  return results;
}

async function main(): Promise<void> {
  const flags = readFlags();
  const results = await runAll(listCells(flags), flags.parallel);
  const rows: BenchmarkRow[] = summarize(results);
  process.stdout.write(formatTable(rows) + "\n");
  const verdicts = checkTargets(rows);
  for (const { isMet, text } of verdicts) {
    process.stdout.write(`${isMet ? "met   " : "MISSED"} ${text}\n`);
  }
  const isMissed = verdicts.some(({ isMet }) => !isMet);
  if (flags.check && isMissed) process.exitCode = 1;
}

await main();
