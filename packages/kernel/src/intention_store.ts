/**
 * Merges rows so that all entries converge to the same intentions, in whatever
 * order the rows arrive.
 *
 * For each intention the row that `compareRows` ranks highest is in force. The
 * order over (revision, platform version, digest) is total, so merging is
 * commutative, associative and idempotent. Leaving a row out of a later sheet
 * does not remove its intention; only a withdrawal at a higher revision does.
 */
import { createHash } from "node:crypto";
import type { IntentionRow } from "./intention.ts";

export type RowRefusalReason = "older-revision" | "lost-race";

/** A row that was not adopted or was replaced, and the row in force. */
export type RefusedRow = {
  readonly row: IntentionRow;
  readonly reason: RowRefusalReason;
  readonly inForce: IntentionRow;
};

export type MergeResult = {
  /** Rows that came into force, and rows in force with an earlier origin. */
  readonly adopted: IntentionRow[];
  readonly refused: RefusedRow[];
};

const BUCKET_COUNT = 32;
const MAXIMUM_REFUSED_ROWS_KEPT = 1_000;

/**
 * Positive when `left` takes precedence over `right`: the higher revision, then
 * the one that was published first, then the lower digest.
 */
export function compareRows(left: IntentionRow, right: IntentionRow): number {
  if (left.revision !== right.revision) return left.revision - right.revision;
  const publicationOrder = right.origin.platformVersion -
    left.origin.platformVersion;
  if (publicationOrder !== 0) return publicationOrder;
  if (left.digest === right.digest) return 0;
  return left.digest < right.digest ? 1 : -1;
}

function bucketOf(intention: string): number {
  return createHash("sha1").update(intention).digest()[0] % BUCKET_COUNT;
}

/** The intentions known to one entry, with digests to compare with peers. */
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

  /** Rows in force, including withdrawn ones, sorted by intention. */
  rows(): IntentionRow[] {
    return [...this.#rows.values()].sort((left, right) =>
      left.intention < right.intention ? -1 : 1
    );
  }

  /** Rows that were received but are not in force, the newest last. */
  refusedRows(): RefusedRow[] {
    return [...this.#refused.values()];
  }

  find(intention: string): IntentionRow | undefined {
    return this.#rows.get(intention);
  }

  merge(rows: Iterable<IntentionRow>): MergeResult {
    const result: MergeResult = { adopted: [], refused: [] };
    for (const row of rows) this.#mergeRow(row, result);
    if (result.adopted.length > 0) this.#digestCache = undefined;
    return result;
  }

  /** One digest per bucket of intentions; equal stores have equal digests. */
  bucketDigests(): string[] {
    this.#digestCache ??= this.#buckets.map((names) => this.#digest(names));
    return this.#digestCache;
  }

  /** One digest over all rows in force. */
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

  #mergeRow(row: IntentionRow, result: MergeResult): void {
    const inForce = this.#rows.get(row.intention);
    if (inForce === undefined) {
      this.#adopt(row, result);
      return;
    }
    const order = compareRows(row, inForce);
    if (order === 0) return;
    const [winner, loser] = order > 0 ? [row, inForce] : [inForce, row];
    if (winner === row) this.#adopt(row, result);
    this.#recordRefusal(loser, winner, result);
  }

  #adopt(row: IntentionRow, result: MergeResult): void {
    this.#rows.set(row.intention, row);
    this.#buckets[bucketOf(row.intention)].add(row.intention);
    result.adopted.push(row);
  }

  /**
   * Reports the losing row as refused: it lost to a row of the same revision,
   * or it was published after a row of a higher revision. A row that a later
   * publication replaces with a higher revision is not refused.
   */
  #recordRefusal(
    loser: IntentionRow,
    winner: IntentionRow,
    result: MergeResult,
  ): void {
    if (loser.digest === winner.digest) return;
    const hasSameRevision = loser.revision === winner.revision;
    const wasPublishedLater = loser.origin.platformVersion >
      winner.origin.platformVersion;
    if (!hasSameRevision && !wasPublishedLater) return;
    const reason: RowRefusalReason = hasSameRevision
      ? "lost-race"
      : "older-revision";
    const refused: RefusedRow = { row: loser, reason, inForce: winner };
    result.refused.push(refused);
    this.#storeRefused(refused);
  }

  #storeRefused(refused: RefusedRow): void {
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
