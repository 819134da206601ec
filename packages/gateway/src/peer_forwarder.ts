/**
 * Passes requests on through peers while this entry does not reach the backend
 * servers of a service.
 *
 * Entries tell each other which services they do not reach, so that none passes
 * a request on to a peer that is cut as well. Servers are checked at short
 * intervals until one is reached again.
 */
import { splitAddress } from "@marigoldford/kernel/address";
import { announcementReceivers } from "@marigoldford/kernel/announcement_receivers";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { choosePeer } from "@marigoldford/kernel/peer_choice";
import type { Placement } from "@marigoldford/kernel/placement";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Reach, ServerReach } from "@marigoldford/kernel/server_reach";
import type {
  Address,
  Clock,
  FailureDomain,
  RandomSource,
  ServiceName,
} from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import { peersInDomain } from "./domain_relays.ts";
import type { WriteEvent } from "./events.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import type { Prober } from "./prober.ts";
import { ServerConnections } from "./server_connections.ts";
import type { ServerTable } from "./server_table.ts";

export type PeerForwarderOptions = {
  readonly self: string;
  readonly failureDomain: FailureDomain;
  /** Every entry takes requests of peers at the port of this address. */
  readonly forwardAddress: Address;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly reach: ServerReach;
  readonly servers: ServerTable;
  readonly prober: Pick<Prober, "check">;
  readonly peers: () => readonly MemberRecord[];
  readonly socket: Pick<DatagramSocket, "send">;
  readonly makeConnections: () => ServerConnections;
  readonly writeEvent: WriteEvent;
};

export type ForwardingPeer = {
  readonly placement: Placement;
  readonly connections: ServerConnections;
};

type KnownPeer = {
  readonly load: ServerLoad;
  readonly connections: ServerConnections;
};

type Told = {
  readonly services: ReadonlySet<ServiceName>;
  readonly atMilliseconds: number;
};

type ReachDatagram = Extract<FleetDatagram, { kind: "reach" }>;

const CHECK_INTERVAL_MILLISECONDS = 200;
/** Servers that are checked at a time, in turn. */
const CHECKED_SERVERS = 2;
/** What an entry does not reach is told again at this interval. */
const TELL_INTERVAL_MILLISECONDS = 400;
/** What a peer told counts this long, in case datagrams are lost. */
const TOLD_MILLISECONDS = 1_500;
/** Relays in each other failure domain, as one may be dead. */
const TOLD_RELAYS = 2;
/** Peers have no slots; `peer_choice.ts` bounds what each gets. */
const PEER_SLOTS = 1_000;

export class PeerForwarder {
  readonly #options: PeerForwarderOptions;
  readonly #known = new Map<string, KnownPeer>();
  readonly #told = new Map<string, Told>();
  readonly #unreached = new Map<ServiceName, Reach>();
  #turn = 0;
  #toldAtMilliseconds = -Infinity;
  #toldCount = 0;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: PeerForwarderOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#check(),
      CHECK_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const { connections } of this.#known.values()) connections.destroy();
  }

  /** Services that this entry does not reach at all. */
  get cutServices(): readonly ServiceName[] {
    return [...this.#unreached].filter(([, reach]) => reach === "cut")
      .map(([service]) => service);
  }

  reachOf(service: ServiceName): Reach {
    const { reach, servers } = this.#options;
    const known = reach.of(service, servers.ofService(service).length);
    if (known !== "reached" && !this.#unreached.has(service)) {
      this.#recordReach(service, known);
      this.#tell();
    }
    return known;
  }

  /** The peer to pass a request on to, if one is expected to serve it. */
  choose(
    service: ServiceName,
    tried: ReadonlySet<string>,
  ): ForwardingPeer | undefined {
    const { peers, failureDomain, random, clock } = this.#options;
    const since = clock() - TOLD_MILLISECONDS;
    const candidates = peers().filter(({ state, incarnation }) => {
      const told = this.#told.get(incarnation);
      const isCut = told !== undefined && told.atMilliseconds > since &&
        told.services.has(service);
      return state === "serving" && !isCut;
    }).map((record) => ({
      ...record,
      inProgress: this.#known.get(record.incarnation)?.load.ownInFlight ?? 0,
    }));
    const context = { ownFailureDomain: failureDomain, tried, random };
    const chosen = choosePeer(candidates, context);
    if (chosen === undefined) return undefined;
    const { load, connections } = this.#find(chosen, service);
    return {
      placement: {
        server: load,
        expectedMilliseconds: 0,
        candidateCount: candidates.length,
      },
      connections,
    };
  }

  /** Records which services a peer does not reach, and forwards it. */
  receive({ from, unreached, isForDomain }: ReachDatagram): void {
    const { clock, peers, failureDomain } = this.#options;
    const atMilliseconds = clock();
    if (unreached.length === 0) this.#told.delete(from);
    else this.#told.set(from, { services: new Set(unreached), atMilliseconds });
    if (!isForDomain) return;
    const receivers = peersInDomain(peers(), failureDomain).filter((peer) =>
      peer.incarnation !== from
    );
    this.#send(receivers, { kind: "reach", from, unreached });
  }

  #find(record: MemberRecord, service: ServiceName): KnownPeer {
    const known = this.#known.get(record.incarnation);
    if (known !== undefined) return known;
    const { forwardAddress, clock, makeConnections } = this.#options;
    const { host } = splitAddress(record.meshAddress);
    const { port } = splitAddress(forwardAddress);
    const peer = {
      load: new ServerLoad({
        id: record.incarnation,
        service,
        address: `${host}:${port}`,
        failureDomain: record.failureDomain,
        slots: PEER_SLOTS,
        state: "ready",
        warmUpLeftMilliseconds: 0,
        bornAtMilliseconds: 0,
        sequence: 0,
      }, clock()),
      connections: makeConnections(),
    };
    this.#known.set(record.incarnation, peer);
    return peer;
  }

  #check(): void {
    const { reach } = this.#options;
    for (const service of reach.suspects()) this.reachOf(service);
    for (const [service, previous] of this.#unreached) {
      const current = this.reachOf(service);
      if (current !== previous) this.#recordReach(service, current);
      if (current !== "reached") this.#checkServers(service);
    }
    this.#forgetPeers();
    const elapsed = this.#options.clock() - this.#toldAtMilliseconds;
    const isDue = elapsed >= TELL_INTERVAL_MILLISECONDS;
    if (isDue && this.cutServices.length > 0) this.#tell();
  }

  #checkServers(service: ServiceName): void {
    const { servers, prober, reach } = this.#options;
    const all = servers.ofService(service);
    const count = Math.min(CHECKED_SERVERS, all.length);
    for (let index = 0; index < count; index++) {
      const server = all[this.#turn++ % all.length];
      const { id } = server.registration;
      void prober.check(server).then((result) => {
        if (result === "unasked") return;
        if (result !== "answered") {
          return reach.recordFailure(service, id, "connection");
        }
        reach.recordConnection(service);
        if (this.#unreached.has(service)) this.#recordReach(service, "reached");
      });
    }
  }

  #recordReach(service: ServiceName, reach: Reach): void {
    const { writeEvent, servers, clock } = this.#options;
    if (reach !== "reached") this.#unreached.set(service, reach);
    else if (this.#unreached.delete(service)) {
      const now = clock();
      for (const server of servers.ofService(service)) server.forgive(now);
      this.#tell();
    }
    writeEvent({
      event: "servers-reach-changed",
      service,
      reach,
      servers: servers.ofService(service).length,
    });
  }

  /** Tells the fleet which services this entry does not reach. */
  #tell(): void {
    const { self, failureDomain, peers, clock } = this.#options;
    this.#toldAtMilliseconds = clock();
    this.#toldCount += 1;
    const { direct, relays } = announcementReceivers(peers(), {
      from: self,
      failureDomain,
      sequence: this.#toldCount,
      relaysPerDomain: TOLD_RELAYS,
    });
    const unreached = this.cutServices;
    const told = { kind: "reach", from: self, unreached } as const;
    this.#send(direct, told);
    this.#send(relays, { ...told, isForDomain: true });
  }

  #send(to: readonly MemberRecord[], datagram: ReachDatagram): void {
    this.#options.socket.send(
      to.map(({ datagramAddress }) => datagramAddress),
      datagram,
    );
  }

  /** Forgets peers that are gone. */
  #forgetPeers(): void {
    if (this.#known.size === 0 && this.#told.size === 0) return;
    const live = new Set(
      this.#options.peers().map(({ incarnation }) => incarnation),
    );
    for (const [incarnation, { load, connections }] of this.#known) {
      if (live.has(incarnation) || load.ownInFlight > 0) continue;
      connections.destroy();
      this.#known.delete(incarnation);
    }
    for (const incarnation of this.#told.keys()) {
      if (!live.has(incarnation)) this.#told.delete(incarnation);
    }
  }
}
