/**
 * Medians over seeds, and the table that the benchmark prints.
 */
import type { CellResult, Contender } from "./cell.ts";
import type { SceneName, User } from "./scenes.ts";

/** One policy in one scene: medians over all seeds. */
export type BenchmarkRow = {
  readonly user: User;
  readonly scene: SceneName;
  readonly contender: Contender;
  readonly seeds: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p999Milliseconds: number;
  /** Shares of the calls. */
  readonly errorShare: number;
  readonly refusedShare: number;
  readonly sentToCalled: number;
  readonly retries: number;
  readonly hedges: number;
  readonly pollSlotShare: number;
};

/** The middle value; the mean of the middle two for an even count. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[middle];
  return (sorted[middle - 1] + sorted[middle]) / 2;
}

export function summarize(results: readonly CellResult[]): BenchmarkRow[] {
  const groups = new Map<string, CellResult[]>();
  for (const result of results) {
    const name = `${result.user} ${result.scene} ${result.contender}`;
    groups.set(name, [...groups.get(name) ?? [], result]);
  }
  return [...groups.values()].map(toRow).sort(compareRows);
}

function compareRows(left: BenchmarkRow, right: BenchmarkRow): number {
  const nameOf = (row: BenchmarkRow) => `${row.user} ${row.scene}`;
  if (nameOf(left) !== nameOf(right)) {
    return nameOf(left) < nameOf(right) ? -1 : 1;
  }
  return left.p99Milliseconds - right.p99Milliseconds;
}

function toRow(group: readonly CellResult[]): BenchmarkRow {
  const [{ user, scene, contender }] = group;
  const of = (read: (result: CellResult) => number) => median(group.map(read));
  return {
    user,
    scene,
    contender,
    seeds: group.length,
    p50Milliseconds: of((result) => result.p50Milliseconds),
    p99Milliseconds: of((result) => result.p99Milliseconds),
    p999Milliseconds: of((result) => result.p999Milliseconds),
    errorShare: of(({ errors, lost, calls }) => (errors + lost) / calls),
    refusedShare: of(({ refused, calls }) => refused / calls),
    sentToCalled: of((result) => result.sentToCalled),
    retries: of((result) => result.retries),
    hedges: of((result) => result.hedges),
    pollSlotShare: of((result) => result.pollSlotShare),
  };
}

/** A Markdown table. */
export function formatTable(rows: readonly BenchmarkRow[]): string {
  const head = "| user | scene | policy | seeds | p50 ms | p99 ms | p99.9 ms " +
    "| errors | refused | sent/called | retries | hedges | poll slot share |";
  const rule = head.replace(/[^|]+/g, " --- ");
  const body = rows.map((row) =>
    [
      "",
      row.user,
      row.scene,
      row.contender,
      row.seeds,
      row.p50Milliseconds.toFixed(1),
      row.p99Milliseconds.toFixed(1),
      row.p999Milliseconds.toFixed(1),
      percent(row.errorShare),
      percent(row.refusedShare),
      row.sentToCalled.toFixed(3),
      percent(row.retries),
      percent(row.hedges),
      percent(row.pollSlotShare),
      "",
    ].join(" | ").trim()
  );
  return [head, rule, ...body].join("\n");
}

function percent(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}
