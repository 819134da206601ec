/**
 * Merges rows so that every entry comes to the same intentions, whatever it
 * saw and in whatever order.
 *
 * In force for each intention is the row that `compareRows` ranks highest.
 * That order is total over (revision, platform version, digest), so merging
 * is commutative, associative and idempotent. A row that is missing from a
 * later sheet removes nothing; only a withdrawal at a higher revision does.
 */
import { createHash } from "node:crypto";
import type { IntentionRow } from "./intention.ts";

export type RowRefusalReason = "older-revision" | "lost-race";

/** A row that is not in force, and the row that is. */
export type RefusedRow = {
  readonly row: IntentionRow;
  readonly reason: RowRefusalReason;
  readonly inForce: IntentionRow;
};

export type MergeResult = {
  /** Rows that changed what is in force or where it was first published. */
  readonly adopted: IntentionRow[];
  readonly refused: RefusedRow[];
};

const BUCKET_COUNT = 32;
const MAXIMUM_REFUSED_ROWS_KEPT = 1_000;

/**
 * Positive when `left` goes before `right`: the higher revision, then the
 * one that was published first, then the lower digest.
 */
export function compareRows(left: IntentionRow, right: IntentionRow): number {
  if (left.revision !== right.revision) return left.revision - right.revision;
  const publishedFirst = right.origin.platformVersion -
    left.origin.platformVersion;
  if (publishedFirst !== 0) return publishedFirst;
  if (left.digest === right.digest) return 0;
  return left.digest < right.digest ? 1 : -1;
}

function bucketOf(intention: string): number {
  return createHash("sha1").update(intention).digest()[0] % BUCKET_COUNT;
}

/** The intentions that one entry knows. */
export class IntentionStore {
  readonly #rows = new Map<string, IntentionRow>();
  readonly #buckets: Set<string>[];
  #refused = new Map<string, RefusedRow>();
  #digestCache: string[] | undefined;

  constructor() {
    this.#buckets = Array.from({ length: BUCKET_COUNT }, () => new Set());
  }

  get size(): number {
    return this.#rows.size;
  }

  /** Rows in force, withdrawn ones included, in order of intention. */
  rows(): IntentionRow[] {
    return [...this.#rows.values()].sort((left, right) =>
      left.intention < right.intention ? -1 : 1
    );
  }

  /** Rows that were read but are not in force, newest last. */
  refusedRows(): RefusedRow[] {
    return [...this.#refused.values()];
  }

  find(intention: string): IntentionRow | undefined {
    return this.#rows.get(intention);
  }

  merge(rows: Iterable<IntentionRow>): MergeResult {
    const report: MergeResult = { adopted: [], refused: [] };
    for (const row of rows) this.#mergeRow(row, report);
    if (report.adopted.length > 0) this.#digestCache = undefined;
    return report;
  }

  /** One digest for each bucket of intentions; equal stores agree on all. */
  bucketDigests(): string[] {
    this.#digestCache ??= this.#buckets.map((names) => this.#digest(names));
    return this.#digestCache;
  }

  /** One digest over all that is in force. */
  rootDigest(): string {
    return createHash("sha1").update(this.bucketDigests().join()).digest(
      "base64",
    );
  }

  /** Rows of the buckets whose digests differ from a peer's. */
  rowsDifferingFrom(peerDigests: readonly string[]): IntentionRow[] {
    const rows: IntentionRow[] = [];
    this.bucketDigests().forEach((digest, bucket) => {
      if (digest === peerDigests[bucket]) return;
      for (const name of this.#buckets[bucket]) {
        const row = this.#rows.get(name);
        if (row !== undefined) rows.push(row);
      }
    });
    return rows;
  }

  #mergeRow(row: IntentionRow, report: MergeResult): void {
    const inForce = this.#rows.get(row.intention);
    if (inForce === undefined) {
      this.#adopt(row, report);
      return;
    }
    const order = compareRows(row, inForce);
    if (order === 0) return;
    const [winner, loser] = order > 0 ? [row, inForce] : [inForce, row];
    if (winner === row) this.#adopt(row, report);
    this.#noteLoser(loser, winner, report);
  }

  #adopt(row: IntentionRow, report: MergeResult): void {
    this.#rows.set(row.intention, row);
    this.#buckets[bucketOf(row.intention)].add(row.intention);
    report.adopted.push(row);
  }

  /** A row that a newer revision replaces in order is history, not refused. */
  #noteLoser(
    loser: IntentionRow,
    winner: IntentionRow,
    report: MergeResult,
  ): void {
    if (loser.digest === winner.digest) return;
    const lostRace = loser.revision === winner.revision;
    const arrivedLate = loser.origin.platformVersion >
      winner.origin.platformVersion;
    if (!lostRace && !arrivedLate) return;
    const reason: RowRefusalReason = lostRace ? "lost-race" : "older-revision";
    const refused: RefusedRow = { row: loser, reason, inForce: winner };
    report.refused.push(refused);
    this.#keepRefused(refused);
  }

  #keepRefused(refused: RefusedRow): void {
    const name = `${refused.row.intention}\u0000${refused.row.digest}`;
    this.#refused.delete(name);
    this.#refused.set(name, refused);
    if (this.#refused.size <= MAXIMUM_REFUSED_ROWS_KEPT) return;
    const oldest = this.#refused.keys().next().value;
    if (oldest !== undefined) this.#refused.delete(oldest);
  }

  #digest(names: Set<string>): string {
    const hash = createHash("sha1");
    for (const name of [...names].sort()) {
      const row = this.#rows.get(name);
      if (row === undefined) continue;
      hash.update(`${name}\u0000${row.revision}\u0000${row.digest}\u0000`);
      hash.update(`${row.origin.platformVersion}\u0000`);
    }
    return hash.digest("base64");
  }
}
