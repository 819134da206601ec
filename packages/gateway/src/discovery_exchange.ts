/**
 * Exchanges discovery state with the other entries: sends them what the
 * discovery service answered, forwards changes inside the own failure domain,
 * and requests the whole state of a peer where changes are missing.
 */
import { splitAddress } from "@marigoldford/kernel/address";
import {
  comparePositions,
  positionOf,
} from "@marigoldford/kernel/discovery_position";
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import {
  MissingRevision,
  type StateProgress,
} from "@marigoldford/kernel/missing_revision";
import type { RoutingSnapshot } from "@marigoldford/kernel/routing_snapshot";
import { snapshotDifference } from "@marigoldford/kernel/snapshot_difference";
import {
  type Departure,
  TransitDelays,
} from "@marigoldford/kernel/transit_delay";
import type { Address, Clock, FailureDomain } from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type {
  DiscoverySynchronizer,
  DiscoveryUpdate,
  PeerUpdate,
} from "./discovery_synchronizer.ts";
import { peersInDomain, receiversInOtherDomains } from "./domain_relays.ts";
import type { WriteEvent } from "./events.ts";
import type { DiscoveryFreshness, FleetFrame } from "./fleet_messages.ts";
import type { FrameConnections, FrameReply } from "./frame_connections.ts";

export type DiscoveryExchangeOptions = {
  readonly self: string;
  readonly failureDomain: FailureDomain;
  /** Every entry uses the port of this address for frames. */
  readonly meshAddress: Address;
  readonly clock: Clock;
  readonly discovery: DiscoverySynchronizer;
  readonly peers: () => readonly MemberRecord[];
  readonly datagramSocket: Pick<DatagramSocket, "send">;
  readonly frameConnections: Pick<FrameConnections, "send">;
  readonly writeEvent: WriteEvent;
};

type UpdateFrame = Extract<FleetFrame, { kind: "update" }>;

const LISTING_REQUEST_INTERVAL_MILLISECONDS = 200;
/** Entries of another failure domain that get changes without a relay. */
const MAXIMUM_DIRECT_RECEIVERS = 8;

export class DiscoveryExchange {
  readonly #options: DiscoveryExchangeOptions;
  readonly #missingRevision: MissingRevision;
  readonly #transitDelays: TransitDelays;
  #listingRequestedAt = -Infinity;

  constructor(options: DiscoveryExchangeOptions) {
    this.#options = options;
    this.#missingRevision = new MissingRevision(options.clock);
    this.#transitDelays = new TransitDelays(options.clock);
  }

  /** How fresh the state of this entry is, for a message that is sent now. */
  freshness(): DiscoveryFreshness {
    return {
      ...this.#options.discovery.freshness,
      departure: this.#departure(),
    };
  }

  /** Forgets what is known of the messages of entries that are gone. */
  expire(): void {
    this.#transitDelays.expire();
  }

  /** Sends peers what the discovery service has answered. */
  sendUpdate(update: DiscoveryUpdate): void {
    const { self, failureDomain } = this.#options;
    const peers = this.#options.peers();
    if (update.changes.length === 0) {
      this.#options.datagramSocket.send(
        peers.map(({ datagramAddress }) => datagramAddress),
        { kind: "news", from: self, news: this.freshness() },
      );
      return;
    }
    const frame = {
      kind: "update",
      ...compact(update),
      ageMilliseconds: 0,
      departure: this.#departure(),
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

  /** Records how fresh the state of a peer is, which may be ahead. */
  receiveFreshness(freshness: DiscoveryFreshness, sender: Address): void {
    const { discovery, meshAddress, frameConnections } = this.#options;
    this.#waitedMilliseconds(freshness.departure);
    if (discovery.recordPeerFreshness(freshness)) return;
    const { port } = splitAddress(meshAddress);
    const { host } = splitAddress(sender);
    const { snapshotVersion = 0 } = freshness;
    this.#requestListing(
      { ...positionOf(freshness), snapshotVersion },
      () =>
        frameConnections.send([`${host}:${port}`], { kind: "reading-request" }),
    );
  }

  receiveFrame(frame: FleetFrame, reply: FrameReply): void {
    const { discovery, clock } = this.#options;
    switch (frame.kind) {
      case "update":
        this.#logChanges(frame);
        this.#relay(frame);
        if (!discovery.applyPeerUpdate(frame, frame.ageMilliseconds)) {
          this.#requestListing(
            { ...positionOf(frame), snapshotVersion: 0 },
            () => reply({ kind: "reading-request" }),
          );
        }
        return;
      case "reading-request": {
        const { ageMilliseconds } = discovery.freshness;
        const reading = discovery.state.listing(clock());
        const departure = this.#departure();
        reply({ kind: "reading", reading, ageMilliseconds, departure });
        return;
      }
      case "reading":
        discovery.applyPeerListing(frame.reading, frame.ageMilliseconds);
        return;
    }
  }

  /** Forwards changes to the own failure domain, unless it has them already. */
  #relay(frame: UpdateFrame): void {
    if (!frame.isForDomain) return;
    const { discovery, peers, failureDomain } = this.#options;
    const { position } = discovery.state;
    if (comparePositions(positionOf(frame), position) <= 0) return;
    this.#sendFrame(peersInDomain(peers(), failureDomain), {
      ...frame,
      departure: this.#departure(),
      isForDomain: false,
    });
  }

  #departure(): Departure {
    const { self, clock } = this.#options;
    return { clock: self, atMilliseconds: clock() };
  }

  /** Time that a message which arrives now has waited on its way, if known. */
  #waitedMilliseconds(departure: Departure | undefined): number | undefined {
    if (departure === undefined) return undefined;
    return this.#transitDelays.record(departure);
  }

  #logChanges(frame: UpdateFrame): void {
    const { discovery, writeEvent } = this.#options;
    const waitedMilliseconds = this.#waitedMilliseconds(frame.departure);
    writeEvent({
      event: "changes-received",
      revision: frame.revision,
      baseRevision: frame.baseRevision,
      ownRevision: discovery.state.revision,
      ownAgeMilliseconds: discovery.freshness.ageMilliseconds,
      waitedMilliseconds: Math.round(waitedMilliseconds ?? -1),
      from: frame.departure?.clock ?? "",
    });
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

/**
 * An update with the last of its snapshots, told as the difference to the one
 * that peers at the base revision have.
 */
function compact(
  { baseSnapshot, changes, ...update }: DiscoveryUpdate,
): PeerUpdate {
  const snapshot = lastSnapshot(changes);
  if (snapshot === undefined) return { ...update, changes };
  const others = changes.filter(({ kind }) => kind !== "snapshot");
  const whole = { kind: "snapshot", snapshot } as const;
  if (baseSnapshot === undefined || update.isListing) {
    return { ...update, changes: [whole, ...others] };
  }
  if (baseSnapshot.version >= snapshot.version) {
    return { ...update, changes: others };
  }
  const difference = snapshotDifference(baseSnapshot, snapshot);
  return difference === undefined
    ? { ...update, changes: [whole, ...others] }
    : { ...update, changes: others, snapshotDifference: difference };
}

function lastSnapshot(
  changes: readonly DiscoveryChange[],
): RoutingSnapshot | undefined {
  let last: RoutingSnapshot | undefined;
  for (const change of changes) {
    if (change.kind !== "snapshot") continue;
    if (last !== undefined && change.snapshot.version <= last.version) continue;
    last = change.snapshot;
  }
  return last;
}
