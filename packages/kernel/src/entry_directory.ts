/**
 * Which entries exist and which of them are alive, from their own heartbeats.
 *
 * An entry describes itself in a record, and counts its heartbeats. A higher
 * count is news, first hand or from a peer that tells what it knows. An entry without news for a while is
 * believed dead by this side of a partition, and only by this side.
 */
import type { KeyPrefix } from "./idempotency_key.ts";
import type {
  Address,
  Clock,
  EntryState,
  FailureDomain,
  Incarnation,
} from "./types.ts";

/** What an entry says of itself; changes seldom. */
export type EntryRecord = {
  readonly incarnation: Incarnation;
  readonly callAddress: Address;
  readonly meshAddress: Address;
  readonly failureDomain: FailureDomain;
  readonly keyPrefix: KeyPrefix;
  /** Grows with each change of the record. */
  readonly issue: number;
};

/** One heartbeat, first hand or told by a peer. */
export type Heartbeat = {
  readonly incarnation: Incarnation;
  readonly count: number;
  readonly state: EntryState;
  /** Time since it was heard of first hand. */
  readonly ageMilliseconds: number;
};

export type EntryDirectoryOptions = {
  readonly clock: Clock;
  /** Without news for this long an entry counts as dead. */
  readonly failureTimeoutMilliseconds: () => number;
  readonly removalMilliseconds: number;
};

type KnownBeat = { count: number; state: EntryState; heardAt: number };

export class EntryDirectory {
  readonly #options: EntryDirectoryOptions;
  readonly #records = new Map<Incarnation, EntryRecord>();
  readonly #beats = new Map<Incarnation, KnownBeat>();

  constructor(options: EntryDirectoryOptions) {
    this.#options = options;
  }

  /** Takes a record in; returns whether it was news. */
  mergeRecord(record: EntryRecord): boolean {
    const known = this.#records.get(record.incarnation);
    if (known !== undefined && known.issue >= record.issue) return false;
    this.#records.set(record.incarnation, record);
    return true;
  }

  /** Takes a heartbeat in; returns whether it was news. */
  mergeHeartbeat(beat: Heartbeat): boolean {
    const known = this.#beats.get(beat.incarnation);
    if (known !== undefined && known.count >= beat.count) return false;
    this.#beats.set(beat.incarnation, {
      count: beat.count,
      state: beat.state,
      heardAt: this.#options.clock() - beat.ageMilliseconds,
    });
    return true;
  }

  find(incarnation: Incarnation): EntryRecord | undefined {
    return this.#records.get(incarnation);
  }

  stateOf(incarnation: Incarnation): EntryState | undefined {
    return this.#beats.get(incarnation)?.state;
  }

  isAlive(incarnation: Incarnation): boolean {
    const beat = this.#beats.get(incarnation);
    if (beat === undefined || beat.state === "stopped") return false;
    return this.#age(beat) <= this.#options.failureTimeoutMilliseconds();
  }

  /** Records of entries heard of lately that have not stopped. */
  liveEntries(): EntryRecord[] {
    const records = [...this.#records.values()];
    return records.filter(({ incarnation }) => this.isAlive(incarnation));
  }

  /** Records of entries that new calls may be sent to. */
  servingEntries(): EntryRecord[] {
    return this.liveEntries().filter(({ incarnation }) =>
      this.stateOf(incarnation) === "serving"
    );
  }

  /** The last beat of every entry, with its age. */
  heartbeats(): Heartbeat[] {
    return [...this.#beats].map(([incarnation, beat]) => ({
      incarnation,
      count: beat.count,
      state: beat.state,
      ageMilliseconds: Math.round(this.#age(beat)),
    }));
  }

  expireEntries(): void {
    for (const [incarnation, beat] of this.#beats) {
      if (this.#age(beat) <= this.#options.removalMilliseconds) continue;
      this.#beats.delete(incarnation);
      this.#records.delete(incarnation);
    }
  }

  #age(beat: KnownBeat): number {
    return this.#options.clock() - beat.heardAt;
  }
}
