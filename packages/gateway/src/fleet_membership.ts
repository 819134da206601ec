/**
 * Gossip-based membership of the fleet.
 *
 * In each interval an entry sends heartbeats to one random peer of its own
 * failure domain and to one random peer of the whole fleet, so that its
 * traffic does not grow with the fleet. Full member records are sent while
 * they are recent, and on request. An entry sends changes of its own state to
 * all peers at once.
 */
import type { ToldEvacuation } from "@marigoldford/kernel/evacuations";
import {
  FleetMembers,
  type MemberRecord,
  type MembershipChange,
} from "@marigoldford/kernel/fleet_members";
import type {
  Address,
  Clock,
  EntryState,
  RandomSource,
} from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { WriteEvent } from "./events.ts";
import type { DiscoveryFreshness, FleetDatagram } from "./fleet_messages.ts";
import { decodeHeartbeats, encodeHeartbeats } from "./heartbeat_codec.ts";
import { shortTag } from "./short_tag.ts";

export type FleetMembershipOptions = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: Omit<MemberRecord, "counter" | "state">;
  /** Datagram addresses of the seeds, evaluated at each use. */
  readonly seeds: () => readonly Address[];
  readonly socket: Pick<DatagramSocket, "send">;
  readonly discoveryFreshness: () => DiscoveryFreshness;
  /** Evacuations to repeat in each message. */
  readonly evacuations: () => readonly ToldEvacuation[];
  readonly writeEvent: WriteEvent;
};

type MembersDatagram = Extract<FleetDatagram, { kind: "members" }>;
type RecordRequestDatagram = Extract<FleetDatagram, { kind: "who" }>;

const GOSSIP_INTERVAL_MILLISECONDS = 400;
/** Interval of messages to the seeds while no peer is known. */
const SEED_RETRY_INTERVAL_MILLISECONDS = 150;
/**
 * With known peers, seeds are contacted every few rounds, so that the parts of
 * a partitioned fleet find each other again.
 */
const SEED_INTERVAL_ROUNDS = 8;
/** Several gossip rounds; it may be long, as callers retry elsewhere sooner. */
const MINIMUM_FAILURE_TIMEOUT_MILLISECONDS = 2_500;
/** Heartbeats per datagram; they fill half of a typical packet. */
const MAXIMUM_HEARTBEATS = 64;
/** Up to this size a change reaches every entry within a few rounds. */
const SMALL_FLEET_ENTRIES = 18;
/** In larger fleets each doubling adds some rounds. */
const FAILURE_TIMEOUT_PER_DOUBLING_MILLISECONDS = 1_200;
const REMOVAL_MILLISECONDS = 12_000;
/** A changed record is sent unrequested this long, to reach the whole fleet. */
const RECENT_CHANGE_MILLISECONDS = 2_000;
/** Records per datagram; with the heartbeats they fit a typical packet. */
const MAXIMUM_RECORDS = 4;
/** Records are requested again after this; answers normally arrive sooner. */
const RECORD_RETRY_MILLISECONDS = 300;
/** Records per answer to a request for them; they fit a typical packet. */
const MAXIMUM_REQUESTED_RECORDS = 8;
/** A leaving entry repeats its message, as datagrams may be lost. */
const LEAVE_MESSAGES = 3;

function failureTimeoutMilliseconds(fleetSize: number): number {
  const doublings = Math.max(0, Math.log2(fleetSize / SMALL_FLEET_ENTRIES));
  return MINIMUM_FAILURE_TIMEOUT_MILLISECONDS +
    doublings * FAILURE_TIMEOUT_PER_DOUBLING_MILLISECONDS;
}

export class FleetMembership {
  readonly members: FleetMembers;
  readonly #options: FleetMembershipOptions;
  #state: EntryState = "starting";
  #counter = 1;
  #round = 0;
  /** When the records of unknown members were requested, by tag. */
  readonly #requested = new Map<number, number>();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
    this.members = new FleetMembers({
      clock: options.clock,
      self: () => this.#ownRecord(),
      failureTimeoutMilliseconds,
      removalMilliseconds: REMOVAL_MILLISECONDS,
      tagOf: shortTag,
    });
  }

  get state(): EntryState {
    return this.#state;
  }

  start(): void {
    this.#gossip();
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Enters a state and announces it to every peer. */
  enterState(state: EntryState): void {
    this.#state = state;
    this.#counter += 1;
    const addresses = this.members.livePeers().map((peer) =>
      peer.datagramAddress
    );
    const repeats = state === "leaving" || state === "stopped"
      ? LEAVE_MESSAGES
      : 1;
    for (let count = 0; count < repeats; count++) {
      this.#send(addresses, [this.#ownRecord()], false);
    }
  }

  receive(datagram: MembersDatagram, sender: Address): void {
    this.#logChanges(this.members.mergeRecords(datagram.records));
    const heartbeats = decodeHeartbeats(datagram.heartbeats);
    const merged = this.members.mergeHeartbeats(heartbeats);
    this.#logChanges(merged.changes);
    this.#requestRecords(merged.unknownTags, sender);
    if (datagram.wantsReply) this.#send([sender], this.#recentRecords(), false);
  }

  /** Sends the records of members that the sender does not know. */
  sendRecords({ tags }: RecordRequestDatagram, sender: Address): void {
    const records = this.members.recordsOf(tags);
    for (let at = 0; at < records.length; at += MAXIMUM_REQUESTED_RECORDS) {
      const part = records.slice(at, at + MAXIMUM_REQUESTED_RECORDS);
      this.#send([sender], part, false);
    }
  }

  /** Requests the records of unknown members unless that is in progress. */
  #requestRecords(unknownTags: readonly number[], sender: Address): void {
    const now = this.#options.clock();
    for (const [tag, sentAt] of this.#requested) {
      if (now - sentAt > RECORD_RETRY_MILLISECONDS) this.#requested.delete(tag);
    }
    const tags = unknownTags.filter((tag) => !this.#requested.has(tag));
    if (tags.length === 0) return;
    for (const tag of tags) this.#requested.set(tag, now);
    this.#options.socket.send([sender], {
      kind: "who",
      from: this.#options.self.incarnation,
      tags,
    });
  }

  #ownRecord(): MemberRecord {
    return {
      ...this.#options.self,
      state: this.#state,
      counter: this.#counter,
    };
  }

  #gossip(): void {
    this.#round += 1;
    this.#counter += 1;
    this.#logChanges(this.members.expireMembers());
    const peers = this.members.livePeers();
    const isAlone = peers.length === 0;
    if (isAlone || this.#round % SEED_INTERVAL_ROUNDS === 0) this.#askSeeds();
    this.#send(this.#pickPeers(peers), this.#recentRecords(), false);
    const pause = isAlone
      ? SEED_RETRY_INTERVAL_MILLISECONDS
      : GOSSIP_INTERVAL_MILLISECONDS;
    const jitter = 0.8 + this.#options.random() * 0.4;
    this.#timer = setTimeout(() => this.#gossip(), pause * jitter);
  }

  #askSeeds(): void {
    const own = this.#options.self.datagramAddress;
    const seeds = this.#options.seeds().filter((seed) => seed !== own);
    this.#send(seeds, [this.#ownRecord()], true);
  }

  #pickPeers(peers: readonly MemberRecord[]): Address[] {
    const domain = this.#options.self.failureDomain;
    const sameDomain = peers.filter(({ failureDomain }) =>
      failureDomain === domain
    );
    const picked = new Set<Address>();
    for (const group of [sameDomain, peers]) {
      if (group.length === 0) continue;
      const index = Math.floor(this.#options.random() * group.length);
      picked.add(group[index].datagramAddress);
    }
    return [...picked];
  }

  /** The own record, then the most recently changed ones. */
  #recentRecords(): MemberRecord[] {
    const since = this.#options.clock() - RECENT_CHANGE_MILLISECONDS;
    return [
      this.#ownRecord(),
      ...this.members.recordsChangedSince(since, MAXIMUM_RECORDS - 1),
    ];
  }

  #send(
    to: readonly Address[],
    records: readonly MemberRecord[],
    wantsReply: boolean,
  ): void {
    const evacuations = this.#options.evacuations();
    this.#options.socket.send(to, {
      kind: "members",
      from: this.#options.self.incarnation,
      records,
      heartbeats: encodeHeartbeats(
        this.members.heartbeatsToSend(MAXIMUM_HEARTBEATS, this.#options.random),
      ),
      news: this.#options.discoveryFreshness(),
      ...(evacuations.length === 0 ? {} : { evacuations }),
      wantsReply,
    });
  }

  #logChanges(changes: readonly MembershipChange[]): void {
    for (const { kind, record } of changes) {
      this.#options.writeEvent({
        event: "entry-changed",
        entry: record.callAddress,
        change: kind,
        state: record.state,
      });
    }
  }
}
