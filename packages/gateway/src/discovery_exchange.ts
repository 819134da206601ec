/**
 * Exchanges discovery state with the other entries: sends them what the
 * discovery service answered, forwards changes inside the own failure domain,
 * and requests the whole state of a peer where changes are missing.
 */
import { splitAddress } from "@marigoldford/kernel/address";
import { announcementReceivers } from "@marigoldford/kernel/announcement_receivers";
import {
  comparePositions,
  positionOf,
} from "@marigoldford/kernel/discovery_position";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import {
  MissingRevision,
  type StateProgress,
} from "@marigoldford/kernel/missing_revision";
import { SnapshotHistory } from "@marigoldford/kernel/snapshot_difference";
import type { Address, Clock, FailureDomain } from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type {
  DiscoverySynchronizer,
  DiscoveryUpdate,
  PeerUpdate,
} from "./discovery_synchronizer.ts";
import { peersInDomain, receiversInOtherDomains } from "./domain_relays.ts";
import type { Aged, MessageClock } from "./message_clock.ts";
import type { WriteEvent } from "./events.ts";
import type {
  DiscoveryFreshness,
  FleetDatagram,
  FleetFrame,
} from "./fleet_messages.ts";
import type { FrameConnections, FrameReply } from "./frame_connections.ts";

export type DiscoveryExchangeOptions = {
  readonly self: string;
  readonly failureDomain: FailureDomain;
  /** Every entry uses the port of this address for frames. */
  readonly meshAddress: Address;
  readonly clock: Clock;
  readonly messageClock: MessageClock;
  readonly discovery: DiscoverySynchronizer;
  readonly peers: () => readonly MemberRecord[];
  readonly datagramSocket: Pick<DatagramSocket, "send">;
  readonly frameConnections: Pick<FrameConnections, "send">;
  readonly writeEvent: WriteEvent;
};

type UpdateFrame = Extract<FleetFrame, { kind: "update" }>;
type FreshnessDatagram = Extract<FleetDatagram, { kind: "news" }>;

const LISTING_REQUEST_INTERVAL_MILLISECONDS = 200;
/** Entries of another failure domain that get changes without a relay. */
const MAXIMUM_DIRECT_RECEIVERS = 8;
/**
 * Relays of freshness in each other failure domain. One of them may be dead;
 * with an old state all entries of the domain would call the service.
 */
const FRESHNESS_RELAYS = 2;

export class DiscoveryExchange {
  readonly #options: DiscoveryExchangeOptions;
  readonly #missingRevision: MissingRevision;
  readonly #snapshots = new SnapshotHistory();
  #listingRequestedAt = -Infinity;
  #freshnessSent = 0;

  constructor(options: DiscoveryExchangeOptions) {
    this.#options = options;
    this.#missingRevision = new MissingRevision(options.clock);
  }

  /** How fresh the state of this entry is, for a message that is sent now. */
  freshness(): DiscoveryFreshness {
    return { ...this.#options.discovery.freshness, ...this.#ageNow() };
  }

  /** Sends peers what the discovery service has answered. */
  sendUpdate(update: DiscoveryUpdate): void {
    const { self, failureDomain } = this.#options;
    const peers = this.#options.peers();
    if (update.changes.length === 0) return this.#sendFreshness(peers);
    const frame = {
      kind: "update",
      ...this.#compact(update),
      ageMilliseconds: update.ageMilliseconds,
      departure: this.#options.messageClock.departure(),
    } as const;
    const others = receiversInOtherDomains(
      { incarnation: self, failureDomain },
      peers,
      MAXIMUM_DIRECT_RECEIVERS,
    );
    this.#sendFrame(peersInDomain(peers, failureDomain), frame);
    this.#sendFrame(others.direct, frame);
    this.#sendFrame(others.relays, { ...frame, isForDomain: true });
  }

  #sendFreshness(peers: readonly MemberRecord[]): void {
    const { self, failureDomain } = this.#options;
    this.#freshnessSent += 1;
    const { direct, relays } = announcementReceivers(peers, {
      from: self,
      failureDomain,
      sequence: this.#freshnessSent,
      relaysPerDomain: FRESHNESS_RELAYS,
    });
    const news = this.freshness();
    this.#sendDatagram(direct, { kind: "news", from: self, news });
    this.#sendDatagram(relays, {
      kind: "news",
      from: self,
      news,
      isForDomain: true,
    });
  }

  /** Records how fresh the state of a watching peer is, and forwards it. */
  receiveFreshnessDatagram(
    { from, news, isForDomain }: FreshnessDatagram,
    sender: Address,
  ): void {
    const ageMilliseconds = this.receiveFreshness(news, sender);
    if (!isForDomain) return;
    const { self, peers, failureDomain, messageClock } = this.#options;
    const receivers = peersInDomain(peers(), failureDomain).filter((peer) =>
      peer.incarnation !== from
    );
    this.#sendDatagram(receivers, {
      kind: "news",
      from: self,
      news: {
        ...news,
        ageMilliseconds: Math.min(ageMilliseconds, Number.MAX_SAFE_INTEGER),
        departure: messageClock.departure(),
      },
    });
  }

  /**
   * Records how fresh the state of a peer is, which may be ahead; returns the
   * age of that state.
   */
  receiveFreshness(freshness: DiscoveryFreshness, sender: Address): number {
    const { discovery, meshAddress, frameConnections } = this.#options;
    const ageMilliseconds = this.#options.messageClock.ageOnArrival(freshness);
    if (discovery.recordPeerFreshness({ ...freshness, ageMilliseconds })) {
      return ageMilliseconds;
    }
    const { port } = splitAddress(meshAddress);
    const { host } = splitAddress(sender);
    const { snapshotVersion = 0 } = freshness;
    this.#requestListing(
      { ...positionOf(freshness), snapshotVersion },
      () =>
        frameConnections.send([`${host}:${port}`], { kind: "reading-request" }),
    );
    return ageMilliseconds;
  }

  receiveFrame(frame: FleetFrame, reply: FrameReply): void {
    const { discovery, clock } = this.#options;
    switch (frame.kind) {
      case "update": {
        const ageMilliseconds = this.#options.messageClock.ageOnArrival(frame);
        this.#logUpdate(frame, ageMilliseconds);
        this.#relay(frame, ageMilliseconds);
        if (!discovery.applyPeerUpdate(frame, ageMilliseconds)) {
          this.#requestListing(
            { ...positionOf(frame), snapshotVersion: 0 },
            () => reply({ kind: "reading-request" }),
          );
        }
        return;
      }
      case "reading-request": {
        const reading = discovery.state.listing(clock());
        reply({ kind: "reading", reading, ...this.#ageNow() });
        return;
      }
      case "reading":
        discovery.applyPeerListing(
          frame.reading,
          this.#options.messageClock.ageOnArrival(frame),
        );
        return;
    }
  }

  /** Forwards changes to the own failure domain, unless it has them already. */
  #relay(frame: UpdateFrame, ageMilliseconds: number): void {
    if (!frame.isForDomain) return;
    const { discovery, peers, failureDomain } = this.#options;
    const { position } = discovery.state;
    if (comparePositions(positionOf(frame), position) <= 0) return;
    this.#sendFrame(peersInDomain(peers(), failureDomain), {
      ...frame,
      ageMilliseconds: Math.min(ageMilliseconds, Number.MAX_SAFE_INTEGER),
      departure: this.#options.messageClock.departure(),
      isForDomain: false,
    });
  }

  /**
   * An update with the last of its snapshots, told as the difference to those
   * that peers have.
   */
  #compact(
    { baseSnapshot, ageMilliseconds: _, changes, ...update }: DiscoveryUpdate,
  ): PeerUpdate {
    const history = this.#snapshots;
    if (baseSnapshot !== undefined) history.add(baseSnapshot);
    let last = baseSnapshot;
    for (const change of changes) {
      if (change.kind !== "snapshot") continue;
      history.add(change.snapshot);
      const { version } = change.snapshot;
      if (last === undefined || version > last.version) last = change.snapshot;
    }
    const others = changes.filter(({ kind }) => kind !== "snapshot");
    if (last === undefined || last === baseSnapshot && !update.isListing) {
      return { ...update, changes: others };
    }
    const difference = history.difference();
    if (update.isListing || difference?.version !== last.version) {
      const whole = { kind: "snapshot", snapshot: last } as const;
      return { ...update, changes: [whole, ...others] };
    }
    return { ...update, changes: others, snapshotDifference: difference };
  }

  /** Age of the own state, in a message that is sent now. */
  #ageNow(): Aged {
    const { ageMilliseconds } = this.#options.discovery.freshness;
    return {
      ageMilliseconds,
      departure: this.#options.messageClock.departure(),
    };
  }

  #logUpdate(frame: UpdateFrame, ageMilliseconds: number): void {
    const { discovery, writeEvent } = this.#options;
    writeEvent({
      event: "changes-received",
      from: frame.departure?.clock ?? "",
      baseRevision: frame.baseRevision,
      revision: frame.revision,
      ownRevision: discovery.state.revision,
      ownAgeMilliseconds: discovery.freshness.ageMilliseconds,
      sentAgeMilliseconds: Math.round(frame.ageMilliseconds),
      ageMilliseconds: Math.round(
        Math.min(ageMilliseconds, Number.MAX_SAFE_INTEGER),
      ),
    });
  }

  #sendDatagram(
    to: readonly MemberRecord[],
    datagram: FreshnessDatagram,
  ): void {
    this.#options.datagramSocket.send(
      to.map(({ datagramAddress }) => datagramAddress),
      datagram,
    );
  }

  #sendFrame(to: readonly MemberRecord[], frame: FleetFrame): void {
    this.#options.frameConnections.send(
      to.map(({ meshAddress }) => meshAddress),
      frame,
    );
  }

  /** Requests a listing unless it, or the missing changes, are on their way. */
  #requestListing(peer: StateProgress, send: () => void): void {
    const { discovery, clock } = this.#options;
    if (!this.#missingRevision.mustRequest(peer, discovery.progress)) return;
    const elapsed = clock() - this.#listingRequestedAt;
    if (elapsed < LISTING_REQUEST_INTERVAL_MILLISECONDS) return;
    this.#listingRequestedAt = clock();
    send();
  }
}
