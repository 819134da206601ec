/**
 * Medians over seeds, and the table that the benchmark prints.
 */
import type { CellResult, Contender } from "./cell.ts";
import type { SceneName, User } from "./scenes.ts";

/** Medians over all seeds of one policy in one scene. */
export type BenchmarkRow = {
  readonly user: User;
  readonly scene: SceneName;
  readonly contender: Contender;
  readonly seeds: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p999Milliseconds: number;
  /** Calls that failed or got no complete answer, as a share of all calls. */
  readonly errorShare: number;
  readonly refusedShare: number;
  /** Attempts sent per call. */
  readonly sentToCalled: number;
  /** Retries per call. */
  readonly retries: number;
  /** Hedges per call. */
  readonly hedges: number;
  readonly pollSlotShare: number;
};

/** For an even count, the mean of the two middle values. */
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
  const groupOf = (row: BenchmarkRow) => `${row.user} ${row.scene}`;
  if (groupOf(left) !== groupOf(right)) {
    return groupOf(left) < groupOf(right) ? -1 : 1;
  }
  return left.p99Milliseconds - right.p99Milliseconds;
}

function toRow(group: readonly CellResult[]): BenchmarkRow {
  const [{ user, scene, contender }] = group;
  const medianOf = (read: (result: CellResult) => number) =>
    median(group.map(read));
  return {
    user,
    scene,
    contender,
    seeds: group.length,
    p50Milliseconds: medianOf((result) => result.p50Milliseconds),
    p99Milliseconds: medianOf((result) => result.p99Milliseconds),
    p999Milliseconds: medianOf((result) => result.p999Milliseconds),
    errorShare: medianOf(({ errors, lost, calls }) => (errors + lost) / calls),
    refusedShare: medianOf(({ refused, calls }) => refused / calls),
    sentToCalled: medianOf((result) => result.sentToCalled),
    retries: medianOf((result) => result.retries),
    hedges: medianOf((result) => result.hedges),
    pollSlotShare: medianOf((result) => result.pollSlotShare),
  };
}

/** Formats the rows as a Markdown table. */
export function formatTable(rows: readonly BenchmarkRow[]): string {
  const head = "| user | scene | policy | seeds | p50 ms | p99 ms | p99.9 ms " +
    "| errors | refused | sent/called | retries | hedges | poll slot share |";
  const separator = head.replace(/[^|]+/g, " --- ");
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
  return [head, separator, ...body].join("\n");
}

function percent(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}
