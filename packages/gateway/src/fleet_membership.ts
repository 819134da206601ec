/**
 * Membership: who tells whom, and how often.
 *
 * Each interval an entry passes heartbeats to one random peer of its own
 * failure domain and to one of all, so that the messages of an entry do not
 * grow with the fleet. Whole records go out while they are news, and to those
 * that ask. Changes of its own state are told to everyone at once.
 */
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
  /** Datagram addresses of seeds, read anew at each use. */
  readonly seeds: () => readonly Address[];
  readonly socket: Pick<DatagramSocket, "send">;
  readonly discoveryFreshness: () => DiscoveryFreshness;
  readonly writeEvent: WriteEvent;
};

type MembersDatagram = Extract<FleetDatagram, { kind: "members" }>;
type WhoDatagram = Extract<FleetDatagram, { kind: "who" }>;

const GOSSIP_MILLISECONDS = 400;
/** While nobody is known seeds are asked this often. */
const SEED_MILLISECONDS = 150;
/** Later they are asked at times, to mend a split. */
const SEED_EVERY_ROUNDS = 8;
/** Several rounds of gossip; callers retry elsewhere sooner. */
const LEAST_SILENCE_MILLISECONDS = 2_500;
/** Heartbeats in one datagram; they take half of a usual packet. */
const MOST_HEARTBEATS = 64;
/** Up to this size news is with everyone after a few rounds. */
const SMALL_FLEET = 18;
/** Beyond it news takes some rounds more for each doubling. */
const SILENCE_FOR_DOUBLING_MILLISECONDS = 1_200;
const FORGET_MILLISECONDS = 12_000;
/** A record is passed on unasked while it is news for some of the fleet. */
const NEWS_MILLISECONDS = 2_000;
/** Records in one datagram; with heartbeats it stays below a usual packet. */
const MOST_RECORDS = 4;
/** An answer to the question for records is back long before. */
const ASK_AGAIN_MILLISECONDS = 300;
/** Records in an answer to the question for them; it is a usual packet. */
const MOST_ASKED_RECORDS = 8;
/** A farewell is repeated, as datagrams may be lost. */
const FAREWELLS = 3;

function silenceMilliseconds(fleetSize: number): number {
  const doublings = Math.max(0, Math.log2(fleetSize / SMALL_FLEET));
  return LEAST_SILENCE_MILLISECONDS +
    doublings * SILENCE_FOR_DOUBLING_MILLISECONDS;
}

export class FleetMembership {
  readonly members: FleetMembers;
  readonly #options: FleetMembershipOptions;
  #state: EntryState = "starting";
  #counter = 1;
  #round = 0;
  /** When the records of strangers were asked for, by tag. */
  readonly #asked = new Map<number, number>();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
    this.members = new FleetMembers({
      clock: options.clock,
      self: () => this.#record(),
      failureTimeoutMilliseconds: silenceMilliseconds,
      removalMilliseconds: FORGET_MILLISECONDS,
      tagOf: shortTag,
    });
  }

  get state(): EntryState {
    return this.#state;
  }

  start(): void {
    this.#turn();
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Enters a state and tells every peer. */
  enterState(state: EntryState): void {
    this.#state = state;
    this.#counter += 1;
    const everyone = this.members.livePeers().map((peer) =>
      peer.datagramAddress
    );
    const repeats = state === "leaving" || state === "stopped" ? FAREWELLS : 1;
    for (let count = 0; count < repeats; count++) {
      this.#send(everyone, [this.#record()], false);
    }
  }

  receive(datagram: MembersDatagram, sender: Address): void {
    this.#log(this.members.mergeRecords(datagram.records));
    const heartbeats = decodeHeartbeats(datagram.heartbeats);
    const heard = this.members.mergeHeartbeats(heartbeats);
    this.#log(heard.changes);
    this.#askWho(heard.unknownTags, sender);
    if (datagram.wantsReply) this.#send([sender], this.#records(), false);
  }

  /** Answers who the members are that the sender does not know. */
  sendRecords({ tags }: WhoDatagram, sender: Address): void {
    const records = this.members.recordsOf(tags);
    for (let at = 0; at < records.length; at += MOST_ASKED_RECORDS) {
      const part = records.slice(at, at + MOST_ASKED_RECORDS);
      this.#send([sender], part, false);
    }
  }

  /** Asks for the records of strangers, unless that was asked just now. */
  #askWho(strangers: readonly number[], sender: Address): void {
    const now = this.#options.clock();
    for (const [tag, askedAt] of this.#asked) {
      if (now - askedAt > ASK_AGAIN_MILLISECONDS) this.#asked.delete(tag);
    }
    const tags = strangers.filter((tag) => !this.#asked.has(tag));
    if (tags.length === 0) return;
    for (const tag of tags) this.#asked.set(tag, now);
    this.#options.socket.send([sender], {
      kind: "who",
      from: this.#options.self.incarnation,
      tags,
    });
  }

  #record(): MemberRecord {
    return {
      ...this.#options.self,
      state: this.#state,
      counter: this.#counter,
    };
  }

  #turn(): void {
    this.#round += 1;
    this.#counter += 1;
    this.#log(this.members.expireMembers());
    const peers = this.members.livePeers();
    const isAlone = peers.length === 0;
    if (isAlone || this.#round % SEED_EVERY_ROUNDS === 0) this.#askSeeds();
    this.#send(this.#pick(peers), this.#records(), false);
    const pause = isAlone ? SEED_MILLISECONDS : GOSSIP_MILLISECONDS;
    const jitter = 0.8 + this.#options.random() * 0.4;
    this.#timer = setTimeout(() => this.#turn(), pause * jitter);
  }

  #askSeeds(): void {
    const own = this.#options.self.datagramAddress;
    const seeds = this.#options.seeds().filter((seed) => seed !== own);
    this.#send(seeds, [this.#record()], true);
  }

  #pick(peers: readonly MemberRecord[]): Address[] {
    const domain = this.#options.self.failureDomain;
    const near = peers.filter(({ failureDomain }) => failureDomain === domain);
    const picked = new Set<Address>();
    for (const group of [near, peers]) {
      if (group.length === 0) continue;
      const index = Math.floor(this.#options.random() * group.length);
      picked.add(group[index].datagramAddress);
    }
    return [...picked];
  }

  /** Own record first, then the newest of the fleet. */
  #records(): MemberRecord[] {
    const since = this.#options.clock() - NEWS_MILLISECONDS;
    return [
      this.#record(),
      ...this.members.recordsChangedSince(since, MOST_RECORDS - 1),
    ];
  }

  #send(
    to: readonly Address[],
    records: readonly MemberRecord[],
    wantsReply: boolean,
  ): void {
    this.#options.socket.send(to, {
      kind: "members",
      from: this.#options.self.incarnation,
      records,
      heartbeats: encodeHeartbeats(
        this.members.heartbeatsToSend(MOST_HEARTBEATS, this.#options.random),
      ),
      news: this.#options.discoveryFreshness(),
      wantsReply,
    });
  }

  #log(changes: readonly MembershipChange[]): void {
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
