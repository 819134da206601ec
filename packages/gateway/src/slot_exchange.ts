/**
 * Passes slots of backend servers that become free to entries whose requests
 * wait for one.
 *
 * In a large fleet an entry ends a request every few hundred milliseconds and
 * seldom has another one waiting then, while the requests of other entries
 * search for room by probes. In each failure domain one entry, its _broker_ for
 * a service, knows which entries wait (`slot_waiters.ts`). An entry that has
 * just got an answer from a server with room, and has none of its own requests
 * waiting, offers that slot to its broker, which grants it to the best waiter.
 * A grant is a fresh load report, no reservation: the waiting entry places its
 * next request by it, as by a report of its own.
 *
 * All of it is a hint that may be lost. Without a broker, or with one that is
 * down, entries still find room by their own probes.
 */
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { limitOfHighestThroughput } from "@marigoldford/kernel/placement";
import { highestRanked } from "@marigoldford/kernel/rendezvous";
import type {
  ServerLoad,
  ServerReport,
} from "@marigoldford/kernel/server_load";
import {
  type SlotWaiter,
  SlotWaiters,
  type WaitingRequest,
  waitingRequestOf,
} from "@marigoldford/kernel/slot_waiters";
import type {
  Address,
  Clock,
  FailureDomain,
  ServiceName,
} from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { SlotDatagram, SlotOffer } from "./slot_messages.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { ServerTable } from "./server_table.ts";
import type { ServiceStates } from "./service_states.ts";

export type SlotExchangeOptions = {
  readonly self: Pick<
    MemberRecord,
    "incarnation" | "datagramAddress" | "failureDomain"
  >;
  readonly clock: Clock;
  readonly socket: Pick<DatagramSocket, "send">;
  readonly servers: Pick<ServerTable, "find">;
  readonly services: Pick<ServiceStates, "queueOf">;
  /** Live entries that do not leave, with this one. */
  readonly members: () => readonly MemberRecord[];
  /** Entries of small fleets tell each other their loads instead. */
  readonly isActive: () => boolean;
  readonly metrics: Pick<GatewayMetrics, "incrementCounter">;
};

type Brokers = {
  /** By failure domain. */
  readonly byDomain: ReadonlyMap<FailureDomain, MemberRecord>;
  readonly untilMilliseconds: number;
};

/** A waiting request is told again this often, and then to all domains. */
const REPEAT_MILLISECONDS = 50;
/**
 * How long an entry offers slots after a request of its own had to wait: others
 * are likely to wait then too, and at other times offers would be of no use.
 */
const OFFERING_MILLISECONDS = 2_000;
/** A report that is older says little of a slot. */
const MAXIMUM_OFFER_AGE_MILLISECONDS = 30;
/** An offer that came too late for one entry is passed on this often. */
const MAXIMUM_PASSES = 2;
const BROKERS_VALID_MILLISECONDS = 250;

export class SlotExchange {
  readonly #options: SlotExchangeOptions;
  readonly #waiters = new Map<ServiceName, SlotWaiters>();
  readonly #brokers = new Map<ServiceName, Brokers>();
  readonly #waitedAt = new Map<ServiceName, number>();
  readonly #repeatTimers = new Map<
    ServiceName,
    ReturnType<typeof setTimeout>
  >();

  #isStopped = false;

  constructor(options: SlotExchangeOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
    for (const timer of this.#repeatTimers.values()) clearTimeout(timer);
    this.#repeatTimers.clear();
  }

  /** Requests of other entries that wait for slots this entry may grant. */
  get waitingCount(): number {
    const now = this.#options.clock();
    let count = 0;
    for (const waiters of this.#waiters.values()) count += waiters.size(now);
    return count;
  }

  /** A request waits for a server of the service. */
  recordWaiting(service: ServiceName): void {
    if (this.#isStopped || !this.#options.isActive()) return;
    this.#waitedAt.set(service, this.#options.clock());
    if (this.#repeatTimers.has(service)) return;
    this.#tell(service, "own-domain");
    this.#repeat(service);
  }

  #repeat(service: ServiceName): void {
    const timer = setTimeout(() => {
      this.#repeatTimers.delete(service);
      if (this.#firstWaiting(service) === undefined) return;
      this.#tell(service, "all-domains");
      this.#repeat(service);
    }, REPEAT_MILLISECONDS);
    this.#repeatTimers.set(service, timer);
  }

  #tell(service: ServiceName, to: "own-domain" | "all-domains"): void {
    const waiting = this.#firstWaiting(service);
    if (waiting === undefined) return;
    const { self } = this.#options;
    for (const [domain, broker] of this.#brokersOf(service)) {
      if (to === "own-domain" && domain !== self.failureDomain) continue;
      if (broker.incarnation === self.incarnation) {
        this.#addWaiter(service, { ...waiting, entry: self.datagramAddress });
      } else {
        this.#send(broker.datagramAddress, { wanted: { service, ...waiting } });
      }
    }
  }

  /** A server has just answered this entry; offers its slot if it has one. */
  offer(server: ServerLoad): void {
    const { clock, isActive, services } = this.#options;
    const { service } = server.registration;
    const { lastReport } = server;
    if (!isActive() || lastReport === undefined) return;
    const now = clock();
    const waitedAt = this.#waitedAt.get(service) ?? -Infinity;
    const age = now - lastReport.atMilliseconds;
    const isUseful = now - waitedAt <= OFFERING_MILLISECONDS &&
      age <= MAXIMUM_OFFER_AGE_MILLISECONDS &&
      !services.queueOf(service).isWaiting && this.#hasRoom(server);
    if (!isUseful) return;
    this.#pass(server, lastReport, age, 0);
  }

  receive(datagram: SlotDatagram, sender: Address): void {
    const { servers } = this.#options;
    const { wanted, offered, granted } = datagram;
    if (wanted !== undefined) {
      const { service, ...waiting } = wanted;
      this.#addWaiter(service, { ...waiting, entry: sender });
    }
    if (offered !== undefined) this.#grant(offered);
    if (granted !== undefined) {
      const server = servers.find(granted.server)?.load;
      if (server !== undefined) this.#use(server, granted);
    }
  }

  #addWaiter(service: ServiceName, waiter: SlotWaiter): void {
    let waiters = this.#waiters.get(service);
    if (waiters === undefined) {
      this.#waiters.set(service, waiters = new SlotWaiters());
    }
    waiters.add(waiter, this.#options.clock());
  }

  /** Sends an offer to the broker, or grants it as the broker. */
  #pass(
    server: ServerLoad,
    report: ServerReport,
    ageMilliseconds: number,
    passes: number,
  ): void {
    const { self, metrics } = this.#options;
    const { id, service } = server.registration;
    const broker = this.#brokersOf(service).get(self.failureDomain);
    if (broker === undefined) return;
    const { running, waiting, slots, slowdown } = report;
    const offer: SlotOffer = {
      server: id,
      service,
      report: { running, waiting, slots, slowdown },
      ageMilliseconds,
      passes,
    };
    metrics.incrementCounter("slots_offered");
    if (broker.incarnation === self.incarnation) this.#grant(offer);
    else this.#send(broker.datagramAddress, { offered: offer });
  }

  #grant(offer: SlotOffer): void {
    const { self, clock, servers, metrics } = this.#options;
    const { slowdown } = offer.report;
    const waiter = this.#waiters.get(offer.service)?.take(slowdown, clock());
    if (waiter === undefined) return;
    metrics.incrementCounter("slots_granted");
    if (waiter.entry !== self.datagramAddress) {
      return this.#send(waiter.entry, { granted: offer });
    }
    const server = servers.find(offer.server)?.load;
    if (server !== undefined) this.#use(server, offer);
  }

  /** Places the next request by the report, or passes the slot on. */
  #use(server: ServerLoad, offer: SlotOffer): void {
    const { clock, services, metrics } = this.#options;
    const { report, ageMilliseconds, passes } = offer;
    server.recordReport(report, clock() - ageMilliseconds);
    const queue = services.queueOf(server.registration.service);
    if (queue.isWaiting) {
      metrics.incrementCounter("slots_used");
      return queue.recordRoom();
    }
    if (passes < MAXIMUM_PASSES && this.#hasRoom(server)) {
      this.#pass(server, report, ageMilliseconds, passes + 1);
    }
  }

  #firstWaiting(service: ServiceName): WaitingRequest | undefined {
    const { first } = this.#options.services.queueOf(service);
    if (first === undefined) return undefined;
    return waitingRequestOf(first, this.#options.clock());
  }

  #hasRoom(server: ServerLoad): boolean {
    const now = this.#options.clock();
    return !server.isBlocked(now) && !server.isCold(now) &&
      server.restrictions.millisecondsUntilAllowed(now) === 0 &&
      server.load(now) < limitOfHighestThroughput(server.slots);
  }

  /** The broker of the service in each failure domain. */
  #brokersOf(service: ServiceName): ReadonlyMap<FailureDomain, MemberRecord> {
    const now = this.#options.clock();
    const known = this.#brokers.get(service);
    if (known !== undefined && known.untilMilliseconds > now) {
      return known.byDomain;
    }
    const members = this.#options.members();
    const byDomain = new Map<FailureDomain, MemberRecord>();
    for (const domain of new Set(members.map((each) => each.failureDomain))) {
      const ofDomain = members.filter(({ failureDomain }) =>
        failureDomain === domain
      );
      const highest = highestRanked(
        `slots of ${service}`,
        ofDomain.map(({ incarnation }) => incarnation),
      );
      const broker = ofDomain.find(({ incarnation }) =>
        incarnation === highest
      );
      if (broker !== undefined) byDomain.set(domain, broker);
    }
    this.#brokers.set(service, {
      byDomain,
      untilMilliseconds: now + BROKERS_VALID_MILLISECONDS,
    });
    return byDomain;
  }

  #send(
    to: Address,
    content: Omit<SlotDatagram, "kind" | "from">,
  ): void {
    const { socket, self } = this.#options;
    socket.send([to], { kind: "slots", from: self.incarnation, ...content });
  }
}
