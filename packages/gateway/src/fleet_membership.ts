/**
 * Gossip-based membership of the fleet.
 *
 * In each interval an entry sends heartbeats to one or two random peers, so
 * that its traffic does not grow with the fleet; `gossip_targets.ts` bounds how
 * much of it leaves the failure domain. Full member records are sent while they
 * are recent, and on request. An entry announces changes of its own state to
 * the peers of its failure domain at once, and to the others through relays.
 */
import type { ToldEvacuation } from "@marigoldford/kernel/evacuations";
import { Buffer } from "node:buffer";
import { announcementReceivers } from "@marigoldford/kernel/announcement_receivers";
import {
  FleetMembers,
  type MemberRecord,
  type MembershipChange,
} from "@marigoldford/kernel/fleet_members";
import {
  gossipTargets,
  isSmallFleet,
  seedsToAsk,
  SMALL_FLEET_ENTRIES,
} from "@marigoldford/kernel/gossip_targets";
import { tagsToRequest } from "@marigoldford/kernel/record_requests";
import type {
  Address,
  Clock,
  EntryState,
  FailureDomain,
  RandomSource,
} from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import { peersInDomain } from "./domain_relays.ts";
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
/** Heartbeats beside as many records as possible: half of a typical packet. */
const MINIMUM_HEARTBEATS = 64;
/** Heartbeats that take the place of a record that is not sent. */
const HEARTBEATS_PER_RECORD = 20;
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
/** Relays of an announcement in each failure domain, as one may be dead. */
const RELAYS = 2;
/** Relays of the end of an entry, which callers must not be sent to any more. */
const LEAVE_RELAYS = 3;

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

  /** Enters a state and announces it to the fleet. */
  enterState(state: EntryState): void {
    this.#state = state;
    this.#counter += 1;
    const isEnd = state === "leaving" || state === "stopped";
    const repeats = isEnd ? LEAVE_MESSAGES : 1;
    const peers = this.members.livePeers();
    const { incarnation, failureDomain } = this.#options.self;
    const { direct, relays } = announcementReceivers(peers, {
      from: incarnation,
      failureDomain,
      sequence: this.#counter,
      relaysPerDomain: isEnd ? LEAVE_RELAYS : RELAYS,
      hasOwnRelays: !isEnd,
    });
    const records = [this.#ownRecord()];
    for (let count = 0; count < repeats; count++) {
      if (isSmallFleet(peers)) {
        this.#send(addressesOf(direct), records, false);
      } else this.#sendAlone(addressesOf(direct), records, false);
    }
    this.#sendAlone(addressesOf(relays), records, true);
  }

  /** Sends records without the heartbeats of other members. */
  #sendAlone(
    to: readonly Address[],
    records: readonly MemberRecord[],
    isForDomain: boolean,
  ): void {
    this.#options.socket.send(to, {
      kind: "members",
      from: this.#options.self.incarnation,
      records,
      heartbeats: Buffer.alloc(0),
      news: this.#options.discoveryFreshness(),
      wantsReply: false,
      isForDomain,
    });
  }

  receive(datagram: MembersDatagram, sender: Address): void {
    this.#logChanges(this.members.mergeRecords(datagram.records));
    const heartbeats = decodeHeartbeats(datagram.heartbeats);
    const merged = this.members.mergeHeartbeats(heartbeats);
    this.#logChanges(merged.changes);
    this.#requestRecords(merged.unknownTags, sender);
    if (datagram.wantsReply) this.#send([sender], this.#recentRecords(), false);
    if (datagram.isForDomain) this.#forward(datagram);
  }

  #forward({ from, records }: MembersDatagram): void {
    const { failureDomain } = this.#options.self;
    const peers = peersInDomain(this.members.livePeers(), failureDomain);
    const receivers = peers.filter(({ incarnation }) => incarnation !== from);
    const forwarded = records.slice(0, MAXIMUM_RECORDS);
    this.#sendAlone(addressesOf(receivers), forwarded, false);
  }

  /** Sends the records of members that the sender does not know. */
  sendRecords({ tags }: RecordRequestDatagram, sender: Address): void {
    const records = this.members.recordsOf(tags);
    const peers = this.members.livePeers();
    const { failureDomain } = this.#options.self;
    const isNear = isSmallFleet(peers) ||
      peers.some((peer) =>
        peer.datagramAddress === sender && peer.failureDomain === failureDomain
      );
    for (let at = 0; at < records.length; at += MAXIMUM_REQUESTED_RECORDS) {
      const part = records.slice(at, at + MAXIMUM_REQUESTED_RECORDS);
      if (isNear) this.#send([sender], part, false);
      else this.#sendAlone([sender], part, false);
    }
  }

  /** Requests the records of unknown members unless that is in progress. */
  #requestRecords(unknownTags: readonly number[], sender: Address): void {
    const now = this.#options.clock();
    for (const [tag, sentAt] of this.#requested) {
      if (now - sentAt > RECORD_RETRY_MILLISECONDS) this.#requested.delete(tag);
    }
    const wanted = unknownTags.filter((tag) => !this.#requested.has(tag));
    if (wanted.length === 0) return;
    const peers = this.members.livePeers();
    const tags = tagsToRequest({
      unknownTags: wanted,
      teller: peers.find((peer) => peer.datagramAddress === sender),
      failureDomain: this.#options.self.failureDomain,
      peers,
      random: this.#options.random,
    });
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
    if (isAlone || this.#round % SEED_INTERVAL_ROUNDS === 0) {
      this.#askSeeds(peers);
    }
    const { random, self: { failureDomain } } = this.#options;
    const targets = gossipTargets({ failureDomain, peers, random });
    const records = this.#recentRecords();
    if (isSmallFleet(peers)) {
      this.#send(addressesOf(targets), records, false);
    } else for (const target of targets) this.#sendGossip(target, records);
    const pause = isAlone
      ? SEED_RETRY_INTERVAL_MILLISECONDS
      : GOSSIP_INTERVAL_MILLISECONDS;
    const jitter = 0.8 + this.#options.random() * 0.4;
    this.#timer = setTimeout(() => this.#gossip(), pause * jitter);
  }

  /** Members of another failure domain know their own domain best. */
  #sendGossip(
    { datagramAddress, failureDomain }: MemberRecord,
    records: readonly MemberRecord[],
  ): void {
    const isOwn = failureDomain === this.#options.self.failureDomain;
    const except = isOwn ? undefined : failureDomain;
    this.#send([datagramAddress], records, false, except);
  }

  #askSeeds(peers: readonly MemberRecord[]): void {
    const { seeds, random, self: { datagramAddress } } = this.#options;
    const others = seeds().filter((seed) => seed !== datagramAddress);
    const asked = seedsToAsk({ seeds: others, peers, random });
    this.#send(asked, [this.#ownRecord()], true);
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
    except?: FailureDomain,
  ): void {
    const evacuations = this.#options.evacuations();
    const recordsLeft = Math.max(0, MAXIMUM_RECORDS - records.length);
    const heartbeats = this.members.heartbeatsToSend(
      MINIMUM_HEARTBEATS + recordsLeft * HEARTBEATS_PER_RECORD,
      this.#options.random,
      except,
    );
    this.#options.socket.send(to, {
      kind: "members",
      from: this.#options.self.incarnation,
      records,
      heartbeats: encodeHeartbeats(heartbeats),
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

function addressesOf(members: readonly MemberRecord[]): Address[] {
  return members.map(({ datagramAddress }) => datagramAddress);
}
