/**
 * Fleet membership by heartbeat counters that entries pass on to each other.
 *
 * Each entry process has a random incarnation and increments its counter. A
 * higher counter shows that the process is alive, whichever peer passes it on.
 * A process without a higher counter for the failure timeout is considered dead
 * on this side of a partition, and only there.
 */
import type {
  Address,
  Clock,
  EntryState,
  FailureDomain,
  RandomSource,
} from "./types.ts";

/** Share of the sent heartbeats that are the most recent ones. */
const MOST_RECENT_SHARE = 0.5;

/**
 * A removed member is remembered for this long. Where its last heartbeat arrives
 * late, others still pass it on, and it must not count as a new member.
 */
const REMEMBERED_MILLISECONDS = 60_000;

/** The list of live peers is used for each request and message. */
const LIVE_PEERS_MILLISECONDS = 100;

/** What entries know about an entry. */
export type MemberRecord = {
  readonly incarnation: string;
  readonly callAddress: Address;
  readonly meshAddress: Address;
  readonly datagramAddress: Address;
  readonly failureDomain: FailureDomain;
  readonly state: EntryState;
  readonly counter: number;
};

/** The changing fields of a record; a short tag replaces the others. */
export type MemberHeartbeat = {
  /** Tag of the incarnation. */
  readonly tag: number;
  readonly counter: number;
  readonly state: EntryState;
};

/** Result of a merge; the records of unknown tags have to be requested. */
export type HeartbeatMergeResult = {
  readonly changes: readonly MembershipChange[];
  readonly unknownTags: readonly number[];
};

type KnownMember = {
  record: MemberRecord;
  readonly tag: number;
  seenAtMilliseconds: number;
  /** When the member was discovered, reappeared or last changed its state. */
  changedAtMilliseconds: number;
  /** Whether the failure timeout has passed without a heartbeat. */
  isLost: boolean;
};

type RemovedMember = {
  readonly counter: number;
  readonly removedAtMilliseconds: number;
};

export type FleetMembersOptions = {
  readonly clock: Clock;
  readonly self: () => MemberRecord;
  /**
   * Time without a heartbeat after which a member is considered dead, by the
   * size of the fleet.
   */
  readonly failureTimeoutMilliseconds: (fleetSize: number) => number;
  /**
   * Time without a heartbeat after which a member is removed. Dead members
   * count in shared budgets until then.
   */
  readonly removalMilliseconds: number;
  /** Short tag of an incarnation in heartbeats. */
  readonly tagOf: (incarnation: string) => number;
};

export type MembershipChange = {
  readonly kind: "joined" | "state-changed" | "lost";
  readonly record: MemberRecord;
};

export class FleetMembers {
  readonly #options: FleetMembersOptions;
  readonly #known = new Map<number, KnownMember>();
  readonly #removed = new Map<number, RemovedMember>();
  readonly #ownTag: number;
  #livePeers: MemberRecord[] = [];
  /** When the list of live peers must be made again. */
  #livePeersValidUntilMilliseconds = -Infinity;
  /** Number of entries that are not removed, including this one. */
  #entryCount = 1;

  constructor(options: FleetMembersOptions) {
    this.#options = options;
    this.#ownTag = options.tagOf(options.self().incarnation);
  }

  /** Merges records received from a peer; returns the changes. */
  mergeRecords(records: readonly MemberRecord[]): MembershipChange[] {
    const changes: MembershipChange[] = [];
    for (const record of records) {
      const tag = this.#options.tagOf(record.incarnation);
      if (tag === this.#ownTag) continue;
      const known = this.#known.get(tag);
      if (known !== undefined) changes.push(...this.#update(known, record));
      else if (this.#isNews(tag, record)) changes.push(this.#join(tag, record));
    }
    return changes;
  }

  /** Merges heartbeats received from a peer. */
  mergeHeartbeats(
    heartbeats: readonly MemberHeartbeat[],
  ): HeartbeatMergeResult {
    const changes: MembershipChange[] = [];
    const unknownTags: number[] = [];
    for (const { tag, counter, state } of heartbeats) {
      if (tag === this.#ownTag) continue;
      const known = this.#known.get(tag);
      if (known === undefined) {
        const isNews = this.#isNews(tag, { counter });
        if (state !== "stopped" && isNews) unknownTags.push(tag);
      } else {
        changes.push(...this.#update(known, { counter, state }));
      }
    }
    return { changes, unknownTags };
  }

  /** Whether an unknown member was not removed with this counter. */
  #isNews(tag: number, { counter }: Pick<MemberRecord, "counter">): boolean {
    return counter > (this.#removed.get(tag)?.counter ?? -1);
  }

  #join(tag: number, record: MemberRecord): MembershipChange {
    const now = this.#options.clock();
    this.#removed.delete(tag);
    this.#known.set(tag, {
      record,
      tag,
      seenAtMilliseconds: now,
      changedAtMilliseconds: now,
      isLost: false,
    });
    this.#livePeersValidUntilMilliseconds = -Infinity;
    this.#entryCount = this.#countEntries();
    return { kind: "joined", record };
  }

  #update(
    known: KnownMember,
    { counter, state }: Pick<MemberRecord, "counter" | "state">,
  ): MembershipChange[] {
    if (known.record.counter >= counter) return [];
    const hasNewState = known.record.state !== state;
    const record = { ...known.record, counter, state };
    known.record = record;
    known.seenAtMilliseconds = this.#options.clock();
    const wasLost = known.isLost;
    known.isLost = false;
    if (hasNewState || wasLost) {
      this.#livePeersValidUntilMilliseconds = -Infinity;
      known.changedAtMilliseconds = known.seenAtMilliseconds;
    }
    if (wasLost) return [{ kind: "joined", record }];
    return hasNewState ? [{ kind: "state-changed", record }] : [];
  }

  /**
   * Live peers that have not stopped. Of two processes at one address the one
   * with the latest heartbeat counts, because the counter of the other does not
   * increase any more.
   */
  livePeers(): readonly MemberRecord[] {
    const now = this.#options.clock();
    if (now >= this.#livePeersValidUntilMilliseconds) {
      this.#livePeersValidUntilMilliseconds = now + LIVE_PEERS_MILLISECONDS;
      this.#livePeers = [...this.#livePeersByAddress().values()].map(
        ({ record }) => record,
      );
    }
    return this.#livePeers;
  }

  #livePeersByAddress(): Map<Address, KnownMember> {
    const since = this.#options.clock() - this.#failureTimeoutMilliseconds();
    const live = new Map<Address, KnownMember>();
    for (const known of this.#known.values()) {
      const { record, seenAtMilliseconds } = known;
      if (record.state === "stopped" || seenAtMilliseconds < since) continue;
      const other = live.get(record.meshAddress);
      const hasLaterHeartbeat = other === undefined ||
        seenAtMilliseconds >= other.seenAtMilliseconds;
      if (hasLaterHeartbeat) live.set(record.meshAddress, known);
    }
    return live;
  }

  /**
   * This entry's heartbeat, the most recent ones of peers, and a random choice
   * of the others, which a peer may not know yet. Those of the failure domain
   * `except` are left out.
   */
  heartbeatsToSend(
    count: number,
    random: RandomSource,
    except?: FailureDomain,
  ): MemberHeartbeat[] {
    const { counter, state } = this.#options.self();
    const peers = [...this.#livePeersByAddress().values()]
      .filter(({ record }) => record.failureDomain !== except)
      .sort((left, right) =>
        right.seenAtMilliseconds - left.seenAtMilliseconds
      );
    const selected = peers.splice(0, Math.ceil(count * MOST_RECENT_SHARE) - 1);
    while (selected.length < count - 1 && peers.length > 0) {
      const index = Math.floor(random() * peers.length);
      selected.push(...peers.splice(index, 1));
    }
    return [
      { tag: this.#ownTag, counter, state },
      ...selected.map(({ tag, record }) => ({
        tag,
        counter: record.counter,
        state: record.state,
      })),
    ];
  }

  /** Records that changed after `sinceMilliseconds`, the latest first. */
  recordsChangedSince(
    sinceMilliseconds: number,
    count: number,
  ): MemberRecord[] {
    const changed = [...this.#livePeersByAddress().values()].filter(
      ({ changedAtMilliseconds }) => changedAtMilliseconds > sinceMilliseconds,
    );
    changed.sort((left, right) =>
      right.changedAtMilliseconds - left.changedAtMilliseconds
    );
    return changed.slice(0, count).map(({ record }) => record);
  }

  /** Records of members that a peer requested by their tags. */
  recordsOf(tags: readonly number[]): MemberRecord[] {
    const self = this.#options.self();
    return tags.flatMap((tag) => {
      if (tag === this.#ownTag) return [self];
      const known = this.#known.get(tag);
      return known === undefined ? [] : [known.record];
    });
  }

  /** This entry and its live peers. */
  liveMembers(): MemberRecord[] {
    return [this.#options.self(), ...this.livePeers()];
  }

  /** Number of entries that a shared budget is divided by, estimated high. */
  budgetDivisor(): number {
    return this.#entryCount;
  }

  /**
   * Marks members as lost after the failure timeout, and removes those that
   * have been silent for the removal time.
   */
  expireMembers(): MembershipChange[] {
    const now = this.#options.clock();
    const failureTimeout = this.#failureTimeoutMilliseconds();
    const changes: MembershipChange[] = [];
    for (const [tag, known] of this.#known) {
      const silence = now - known.seenAtMilliseconds;
      if (silence > this.#options.removalMilliseconds) {
        this.#known.delete(tag);
        const { counter } = known.record;
        this.#removed.set(tag, { counter, removedAtMilliseconds: now });
      } else if (silence > failureTimeout && !known.isLost) {
        known.isLost = true;
        changes.push({ kind: "lost", record: known.record });
      }
    }
    for (const [tag, { removedAtMilliseconds }] of this.#removed) {
      const elapsed = now - removedAtMilliseconds;
      if (elapsed > REMEMBERED_MILLISECONDS) this.#removed.delete(tag);
    }
    this.#entryCount = this.#countEntries();
    return changes;
  }

  #failureTimeoutMilliseconds(): number {
    return this.#options.failureTimeoutMilliseconds(this.#known.size + 1);
  }

  /** Counts this entry and its peers; processes at one address count once. */
  #countEntries(): number {
    const addresses = new Set([this.#options.self().meshAddress]);
    for (const { record } of this.#known.values()) {
      addresses.add(record.meshAddress);
    }
    return addresses.size;
  }
}
