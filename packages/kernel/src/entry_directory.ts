/**
 * Tracks which entries exist and which of them are alive, by their heartbeats.
 *
 * An entry describes itself in a record and numbers its heartbeats. A heartbeat
 * with a higher number replaces the known one, whether it came from the entry
 * itself or from a peer that passed it on. An entry without a new heartbeat for
 * the failure timeout counts as dead. Each entry decides this for itself: on the
 * other side of a partition the same entry may count as alive.
 */
import type { KeyPrefix } from "./idempotency_key.ts";
import type {
  Address,
  Clock,
  EntryState,
  FailureDomain,
  Incarnation,
} from "./types.ts";

/** An entry's description of itself; it changes rarely. */
export type EntryRecord = {
  readonly incarnation: Incarnation;
  readonly callAddress: Address;
  readonly meshAddress: Address;
  readonly failureDomain: FailureDomain;
  readonly keyPrefix: KeyPrefix;
  /** Version of the record: increases with each change. */
  readonly issue: number;
};

/** One heartbeat, received from the entry itself or passed on by a peer. */
export type Heartbeat = {
  readonly incarnation: Incarnation;
  readonly count: number;
  readonly state: EntryState;
  /** Time since an entry received it directly. */
  readonly ageMilliseconds: number;
};

export type EntryDirectoryOptions = {
  readonly clock: Clock;
  /** Without a new heartbeat for this long an entry counts as dead. */
  readonly failureTimeoutMilliseconds: () => number;
  /** Without a new heartbeat for this long an entry is removed. */
  readonly removalMilliseconds: number;
};

type KnownHeartbeat = {
  count: number;
  state: EntryState;
  receivedAtMilliseconds: number;
};

export class EntryDirectory {
  readonly #options: EntryDirectoryOptions;
  readonly #records = new Map<Incarnation, EntryRecord>();
  readonly #heartbeats = new Map<Incarnation, KnownHeartbeat>();

  constructor(options: EntryDirectoryOptions) {
    this.#options = options;
  }

  /** Stores a record unless a newer one is known; returns whether it did. */
  mergeRecord(record: EntryRecord): boolean {
    const known = this.#records.get(record.incarnation);
    if (known !== undefined && known.issue >= record.issue) return false;
    this.#records.set(record.incarnation, record);
    return true;
  }

  /** Stores a heartbeat unless a newer one is known; returns whether it did. */
  mergeHeartbeat(heartbeat: Heartbeat): boolean {
    const known = this.#heartbeats.get(heartbeat.incarnation);
    if (known !== undefined && known.count >= heartbeat.count) return false;
    this.#heartbeats.set(heartbeat.incarnation, {
      count: heartbeat.count,
      state: heartbeat.state,
      receivedAtMilliseconds: this.#options.clock() - heartbeat.ageMilliseconds,
    });
    return true;
  }

  find(incarnation: Incarnation): EntryRecord | undefined {
    return this.#records.get(incarnation);
  }

  stateOf(incarnation: Incarnation): EntryState | undefined {
    return this.#heartbeats.get(incarnation)?.state;
  }

  isAlive(incarnation: Incarnation): boolean {
    const heartbeat = this.#heartbeats.get(incarnation);
    if (heartbeat === undefined || heartbeat.state === "stopped") return false;
    return this.#age(heartbeat) <= this.#options.failureTimeoutMilliseconds();
  }

  /** Records of entries that are within the failure timeout and not stopped. */
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

  /** The latest heartbeat of every entry, with its age. */
  heartbeats(): Heartbeat[] {
    return [...this.#heartbeats].map(([incarnation, heartbeat]) => ({
      incarnation,
      count: heartbeat.count,
      state: heartbeat.state,
      ageMilliseconds: Math.round(this.#age(heartbeat)),
    }));
  }

  expireEntries(): void {
    for (const [incarnation, heartbeat] of this.#heartbeats) {
      if (this.#age(heartbeat) <= this.#options.removalMilliseconds) continue;
      this.#heartbeats.delete(incarnation);
      this.#records.delete(incarnation);
    }
  }

  #age(heartbeat: KnownHeartbeat): number {
    return this.#options.clock() - heartbeat.receivedAtMilliseconds;
  }
}
