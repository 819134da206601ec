/**
 * Tables of protected calls that leavers handed over to this entry.
 *
 * A successor only answers from what it was handed; it runs nothing. Until
 * the last part has arrived a key without a record is `unknown`. After it
 * such a key is proved not run, because the leaver can run nothing any more,
 * unless the key had expired: then the leaver may have run and forgotten it.
 */
import type { IdempotencyKey } from "./idempotency_key.ts";
import type { Clock, Incarnation } from "./types.ts";
import {
  type BeginDecision,
  decideFromRecord,
  type KeyRecord,
} from "./protected_call_table.ts";

/** One acknowledged piece of a leaver's table. */
export type HandOverPart = {
  readonly leaver: Incarnation;
  readonly index: number;
  readonly isLast: boolean;
  /** The leaver's clock when it sent this part, to translate expiries. */
  readonly leaverNowMilliseconds: number;
  readonly records: readonly KeyRecord[];
};

/** What a resend of an adopted key gets. */
export type AdoptedDecision =
  | BeginDecision
  | { readonly kind: "incomplete" }
  | { readonly kind: "never-seen" }
  | { readonly kind: "key-expired" }
  | { readonly kind: "content-mismatch" };

type AdoptedTable = {
  readonly records: Map<string, KeyRecord>;
  readonly partsSeen: Set<number>;
  lastIndex: number | undefined;
  forgetAtMilliseconds: number;
  /** The leaver's clock less this entry's. */
  clockOffsetMilliseconds: number;
};

export type AdoptedTablesOptions = {
  readonly clock: Clock;
  /** How long a table is kept after its last part: the key lifetime. */
  readonly retentionMilliseconds: number;
  readonly maximumRecords: number;
};

function isComplete(table: AdoptedTable): boolean {
  if (table.lastIndex === undefined) return false;
  return table.partsSeen.size === table.lastIndex + 1;
}

/** Holds adopted tables until every key in them has expired. */
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
   * Takes a part in; a part that arrives again changes nothing. Returns
   * whether the part may be acknowledged: false when there is no room.
   */
  accept(part: HandOverPart): boolean {
    const { maximumRecords } = this.#options;
    if (this.#recordCount() + part.records.length > maximumRecords) {
      return false;
    }
    const table = this.#tableOf(part);
    for (const record of part.records) {
      table.records.set(record.key, settleInterrupted(record));
    }
    table.partsSeen.add(part.index);
    if (part.isLast) table.lastIndex = part.index;
    return true;
  }

  /** Whether every part of the leaver's table has arrived. */
  isComplete(leaver: Incarnation): boolean {
    const table = this.#tables.get(leaver);
    return table !== undefined && isComplete(table);
  }

  /** Decides from the adopted records; never to run. */
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

  /** All records of one leaver, to hand them on when this entry leaves. */
  recordsOf(leaver: Incarnation): KeyRecord[] {
    return [...(this.#tables.get(leaver)?.records.values() ?? [])];
  }

  /** The leaver's clock now, for handing its table on. */
  leaverNowMilliseconds(leaver: Incarnation): number {
    const offset = this.#tables.get(leaver)?.clockOffsetMilliseconds ?? 0;
    return this.#options.clock() + offset;
  }

  dropExpired(): void {
    const now = this.#options.clock();
    for (const [leaver, table] of this.#tables) {
      if (table.forgetAtMilliseconds < now) this.#tables.delete(leaver);
    }
  }

  #hasExpired(key: IdempotencyKey, table: AdoptedTable): boolean {
    const leaverNow = this.#options.clock() + table.clockOffsetMilliseconds;
    return key.expiresAtMilliseconds < leaverNow;
  }

  #tableOf(part: HandOverPart): AdoptedTable {
    const { leaver, leaverNowMilliseconds } = part;
    const forgetAtMilliseconds = this.#options.clock() +
      this.#options.retentionMilliseconds;
    const existing = this.#tables.get(leaver);
    if (existing !== undefined) {
      existing.forgetAtMilliseconds = forgetAtMilliseconds;
      existing.clockOffsetMilliseconds = Math.max(
        existing.clockOffsetMilliseconds,
        leaverNowMilliseconds - this.#options.clock(),
      );
      return existing;
    }
    const table: AdoptedTable = {
      records: new Map(),
      partsSeen: new Set(),
      lastIndex: undefined,
      forgetAtMilliseconds,
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

/** A run that was still going when its owner left has an unknown outcome. */
function settleInterrupted(record: KeyRecord): KeyRecord {
  if (record.state !== "running") return record;
  return { ...record, state: "unknown" };
}
