/**
 * Tables of protected calls that other entries handed over to this one when
 * they left. The leaving entry is the leaver, this entry its successor.
 *
 * A successor answers from the received records and runs no key of the leaver.
 * Until every part has arrived, the outcome of a key without a record is
 * unknown. After that such a key is proved not run, because the leaver can no
 * longer run anything. An expired key is the exception: the leaver may have
 * run it and dropped its record.
 */
import type { IdempotencyKey } from "./idempotency_key.ts";
import type { Clock, Incarnation } from "./types.ts";
import {
  type BeginDecision,
  decideFromRecord,
  type KeyRecord,
} from "./protected_call_table.ts";

/** One part of a leaver's table; each part is acknowledged by itself. */
export type HandOverPart = {
  readonly leaver: Incarnation;
  readonly index: number;
  readonly isLast: boolean;
  /** The leaver's clock when it sent this part, to convert expiry times. */
  readonly leaverNowMilliseconds: number;
  readonly records: readonly KeyRecord[];
};

/** How a successor answers a repeated call with an adopted key. */
export type AdoptedDecision =
  | BeginDecision
  | { readonly kind: "incomplete" }
  | { readonly kind: "never-seen" }
  | { readonly kind: "key-expired" }
  | { readonly kind: "content-mismatch" };

type AdoptedTable = {
  readonly records: Map<string, KeyRecord>;
  readonly receivedParts: Set<number>;
  lastIndex: number | undefined;
  dropAtMilliseconds: number;
  /** The leaver's clock minus this entry's clock. */
  clockOffsetMilliseconds: number;
};

export type AdoptedTablesOptions = {
  readonly clock: Clock;
  /** Time for which a table is kept after its newest part: the key lifetime. */
  readonly retentionMilliseconds: number;
  readonly maximumRecords: number;
};

function isComplete(table: AdoptedTable): boolean {
  if (table.lastIndex === undefined) return false;
  return table.receivedParts.size === table.lastIndex + 1;
}

/** Stores adopted tables until every key in them has expired. */
export class AdoptedTables {
  readonly #options: AdoptedTablesOptions;
  readonly #tables = new Map<Incarnation, AdoptedTable>();

  constructor(options: AdoptedTablesOptions) {
    this.#options = options;
  }

  get leavers(): Incarnation[] {
    return [...this.#tables.keys()];
  }

  /**
   * Stores a part; a duplicate changes nothing. Returns whether the part may be
   * acknowledged: false when the limit on records would be exceeded.
   */
  accept(part: HandOverPart): boolean {
    const { maximumRecords } = this.#options;
    if (this.#recordCount() + part.records.length > maximumRecords) {
      return false;
    }
    const table = this.#tableOf(part);
    for (const record of part.records) {
      table.records.set(record.key, markInterruptedAsUnknown(record));
    }
    table.receivedParts.add(part.index);
    if (part.isLast) table.lastIndex = part.index;
    return true;
  }

  /** Whether every part of the leaver's table has arrived. */
  isComplete(leaver: Incarnation): boolean {
    const table = this.#tables.get(leaver);
    return table !== undefined && isComplete(table);
  }

  /** Decides how to answer from the adopted records; the key is never run. */
  decide(
    leaver: Incarnation,
    request: { key: IdempotencyKey; contentDigest: string },
  ): AdoptedDecision {
    const table = this.#tables.get(leaver);
    const record = table?.records.get(request.key.text);
    if (record !== undefined) {
      if (record.contentDigest !== request.contentDigest) {
        return { kind: "content-mismatch" };
      }
      return decideFromRecord(record);
    }
    if (table === undefined || !isComplete(table)) {
      return { kind: "incomplete" };
    }
    if (this.#hasExpired(request.key, table)) return { kind: "key-expired" };
    return { kind: "never-seen" };
  }

  /** All records of one leaver, to hand them over when this entry leaves. */
  recordsOf(leaver: Incarnation): KeyRecord[] {
    return [...(this.#tables.get(leaver)?.records.values() ?? [])];
  }

  /** The leaver's clock now, estimated in order to hand its table on. */
  leaverNowMilliseconds(leaver: Incarnation): number {
    const offset = this.#tables.get(leaver)?.clockOffsetMilliseconds ?? 0;
    return this.#options.clock() + offset;
  }

  dropExpired(): void {
    const now = this.#options.clock();
    for (const [leaver, table] of this.#tables) {
      if (table.dropAtMilliseconds < now) this.#tables.delete(leaver);
    }
  }

  #hasExpired(key: IdempotencyKey, table: AdoptedTable): boolean {
    const leaverNow = this.#options.clock() + table.clockOffsetMilliseconds;
    return key.expiresAtMilliseconds < leaverNow;
  }

  #tableOf(part: HandOverPart): AdoptedTable {
    const { leaver, leaverNowMilliseconds } = part;
    const dropAtMilliseconds = this.#options.clock() +
      this.#options.retentionMilliseconds;
    const existing = this.#tables.get(leaver);
    if (existing !== undefined) {
      existing.dropAtMilliseconds = dropAtMilliseconds;
      existing.clockOffsetMilliseconds = Math.max(
        existing.clockOffsetMilliseconds,
        leaverNowMilliseconds - this.#options.clock(),
      );
      return existing;
    }
    const table: AdoptedTable = {
      records: new Map(),
      receivedParts: new Set(),
      lastIndex: undefined,
      dropAtMilliseconds,
      clockOffsetMilliseconds: leaverNowMilliseconds - this.#options.clock(),
    };
    this.#tables.set(leaver, table);
    return table;
  }

  #recordCount(): number {
    let count = 0;
    for (const table of this.#tables.values()) count += table.records.size;
    return count;
  }
}

/** A call that was still running when its owner left has an unknown outcome. */
function markInterruptedAsUnknown(record: KeyRecord): KeyRecord {
  if (record.state !== "running") return record;
  return { ...record, state: "unknown" };
}
