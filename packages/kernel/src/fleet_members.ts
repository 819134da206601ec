/**
 * Which entries are alive, from the counters that they pass on.
 *
 * Each run of an entry has a random incarnation and counts up. A higher
 * counter is news, whoever passes it on. A run without news for a while is
 * believed dead by this side of a partition, and only by this side.
 */
import type {
  Address,
  Clock,
  EntryState,
  FailureDomain,
  RandomSource,
} from "./types.ts";

/** Part of the heartbeats told that are the freshest ones. */
const FRESHEST_PART = 0.5;

/** What entries know of an entry. */
export type MemberRecord = {
  readonly incarnation: string;
  readonly callAddress: Address;
  readonly meshAddress: Address;
  readonly datagramAddress: Address;
  readonly failureDomain: FailureDomain;
  readonly state: EntryState;
  readonly counter: number;
};

/** The part of a record that changes, with a short name for the rest. */
export type MemberHeartbeat = {
  /** Tag of the incarnation. */
  readonly tag: number;
  readonly counter: number;
  readonly state: EntryState;
};

/** What heartbeats tell; records of the unknown ones have to be asked for. */
export type HeartbeatMergeResult = {
  readonly changes: readonly MembershipChange[];
  readonly unknownTags: readonly number[];
};

type KnownMember = {
  record: MemberRecord;
  readonly tag: number;
  heardAtMilliseconds: number;
  /** When the member was first heard of or last changed its state. */
  changedAtMilliseconds: number;
  /** Whether it has been silent for too long. */
  isLost: boolean;
};

export type FleetMembersOptions = {
  readonly clock: Clock;
  readonly self: () => MemberRecord;
  /** Without news for this long a member of such a fleet counts as dead. */
  readonly failureTimeoutMilliseconds: (fleetSize: number) => number;
  /** Dead members still count in shared budgets for this long. */
  readonly removalMilliseconds: number;
  /** Short name of an incarnation in heartbeats. */
  readonly tagOf: (incarnation: string) => number;
};

export type MembershipChange = {
  readonly kind: "joined" | "state-changed" | "lost";
  readonly record: MemberRecord;
};

export class FleetMembers {
  readonly #options: FleetMembersOptions;
  readonly #known = new Map<number, KnownMember>();
  readonly #ownTag: number;
  /** Entries that are not forgotten, this one included. */
  #entries = 1;

  constructor(options: FleetMembersOptions) {
    this.#options = options;
    this.#ownTag = options.tagOf(options.self().incarnation);
  }

  /** Takes records that a peer passed on; returns the changes of belief. */
  mergeRecords(records: readonly MemberRecord[]): MembershipChange[] {
    const changes: MembershipChange[] = [];
    for (const record of records) {
      const tag = this.#options.tagOf(record.incarnation);
      if (tag === this.#ownTag) continue;
      const known = this.#known.get(tag);
      if (known !== undefined) changes.push(...this.#renew(known, record));
      else changes.push(this.#join(tag, record));
    }
    return changes;
  }

  /** Takes heartbeats that a peer passed on. */
  mergeHeartbeats(
    heartbeats: readonly MemberHeartbeat[],
  ): HeartbeatMergeResult {
    const changes: MembershipChange[] = [];
    const unknownTags: number[] = [];
    for (const { tag, counter, state } of heartbeats) {
      if (tag === this.#ownTag) continue;
      const known = this.#known.get(tag);
      if (known === undefined) {
        if (state !== "stopped") unknownTags.push(tag);
      } else {
        changes.push(...this.#renew(known, { counter, state }));
      }
    }
    return { changes, unknownTags };
  }

  #join(tag: number, record: MemberRecord): MembershipChange {
    const now = this.#options.clock();
    this.#known.set(tag, {
      record,
      tag,
      heardAtMilliseconds: now,
      changedAtMilliseconds: now,
      isLost: false,
    });
    this.#entries = this.#countEntries();
    return { kind: "joined", record };
  }

  #renew(
    known: KnownMember,
    { counter, state }: Pick<MemberRecord, "counter" | "state">,
  ): MembershipChange[] {
    if (known.record.counter >= counter) return [];
    const hasNewState = known.record.state !== state;
    const record = { ...known.record, counter, state };
    known.record = record;
    known.heardAtMilliseconds = this.#options.clock();
    const wasLost = known.isLost;
    known.isLost = false;
    if (hasNewState || wasLost) {
      known.changedAtMilliseconds = known.heardAtMilliseconds;
    }
    if (wasLost) return [{ kind: "joined", record }];
    return hasNewState ? [{ kind: "state-changed", record }] : [];
  }

  /**
   * Peers that have not stopped. Of two runs at an address the one heard of
   * last counts, as the counter of the other has stopped.
   */
  livePeers(): MemberRecord[] {
    return [...this.#alive().values()].map(({ record }) => record);
  }

  #alive(): Map<Address, KnownMember> {
    const since = this.#options.clock() - this.#silenceMilliseconds();
    const alive = new Map<Address, KnownMember>();
    for (const known of this.#known.values()) {
      const { record, heardAtMilliseconds } = known;
      if (record.state === "stopped" || heardAtMilliseconds < since) continue;
      const other = alive.get(record.meshAddress);
      const isLater = other === undefined ||
        heardAtMilliseconds >= other.heardAtMilliseconds;
      if (isLater) alive.set(record.meshAddress, known);
    }
    return alive;
  }

  /**
   * Own heartbeat, those of peers that were heard of last, and in the last
   * part some of the others, as they may be news to a peer all the same.
   */
  heartbeatsToSend(count: number, random: RandomSource): MemberHeartbeat[] {
    const { counter, state } = this.#options.self();
    const peers = [...this.#alive().values()].sort((left, right) =>
      right.heardAtMilliseconds - left.heardAtMilliseconds
    );
    const told = peers.splice(0, Math.ceil(count * FRESHEST_PART) - 1);
    while (told.length < count - 1 && peers.length > 0) {
      const index = Math.floor(random() * peers.length);
      told.push(...peers.splice(index, 1));
    }
    return [
      { tag: this.#ownTag, counter, state },
      ...told.map(({ tag, record }) => ({
        tag,
        counter: record.counter,
        state: record.state,
      })),
    ];
  }

  /** Records that are news of the last while, the newest first. */
  recordsChangedSince(milliseconds: number, count: number): MemberRecord[] {
    const news = [...this.#alive().values()].filter(
      ({ changedAtMilliseconds }) => changedAtMilliseconds > milliseconds,
    );
    news.sort((left, right) =>
      right.changedAtMilliseconds - left.changedAtMilliseconds
    );
    return news.slice(0, count).map(({ record }) => record);
  }

  /** Records of members that a peer does not know. */
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

  /** Entries that a shared budget is divided by; errs on the high side. */
  budgetDivisor(): number {
    return this.#entries;
  }

  /** Notices members that fell silent and forgets those long dead. */
  expireMembers(): MembershipChange[] {
    const now = this.#options.clock();
    const silence = this.#silenceMilliseconds();
    const changes: MembershipChange[] = [];
    for (const [tag, known] of this.#known) {
      const silent = now - known.heardAtMilliseconds;
      if (silent > this.#options.removalMilliseconds) this.#known.delete(tag);
      else if (silent > silence && !known.isLost) {
        known.isLost = true;
        changes.push({ kind: "lost", record: known.record });
      }
    }
    this.#entries = this.#countEntries();
    return changes;
  }

  #silenceMilliseconds(): number {
    return this.#options.failureTimeoutMilliseconds(this.#known.size + 1);
  }

  /** This entry and its peers; two runs at an address are one entry. */
  #countEntries(): number {
    const addresses = new Set([this.#options.self().meshAddress]);
    for (const { record } of this.#known.values()) {
      addresses.add(record.meshAddress);
    }
    return addresses.size;
  }
}
