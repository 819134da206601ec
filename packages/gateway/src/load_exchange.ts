/**
 * Sends peers this entry's in-flight counts and the load reports that backend
 * servers gave it.
 *
 * Inside the failure domain, where traffic is cheap, changes are sent after a
 * short interval. Each other failure domain gets them less often, through one
 * of its entries, which forwards them to the others. In large fleets the
 * intervals grow up to the age at which a report is still of use; beyond that
 * size no messages are sent, and entries know the load from their own probes.
 */
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { loadExchangeInterval } from "@marigoldford/kernel/load_exchange_schedule";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Clock, FailureDomain } from "@marigoldford/kernel/types";
import type { DatagramSocket } from "./datagram_socket.ts";
import { peersInDomain, receiversInOtherDomains } from "./domain_relays.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import {
  decodeInFlightCounts,
  decodeReports,
  encodeInFlightCounts,
  encodeReports,
  type TaggedReport,
} from "./load_codec.ts";
import type { ServerTable } from "./server_table.ts";

export type ExchangeInterval = {
  /** Interval in a small fleet. */
  readonly minimumMilliseconds: number;
  /** No messages are sent in a fleet that needs a longer interval. */
  readonly maximumMilliseconds: number;
};

export type LoadExchangeSettings = {
  /** Interval of messages inside the failure domain. */
  readonly sameDomain: ExchangeInterval;
  /** Interval of messages to other failure domains. */
  readonly crossDomain: ExchangeInterval;
};

export type LoadExchangeOptions = {
  readonly self: string;
  readonly failureDomain: FailureDomain;
  readonly clock: Clock;
  readonly settings: LoadExchangeSettings;
  readonly socket: DatagramSocket;
  readonly servers: ServerTable;
  readonly peers: () => readonly MemberRecord[];
};

type LoadDatagram = Extract<FleetDatagram, { kind: "load" }>;

/** Unchanged in-flight counts are resent after this, as datagrams get lost. */
const REPEAT_MILLISECONDS = 400;
/** How long it is taken for unchanged whether messages are sent. */
const ACTIVE_MILLISECONDS = 200;
/** Timers fire up to a millisecond early. */
const TIMER_TOLERANCE_MILLISECONDS = 2;

export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #sameDomainReports = new Set<ServerLoad>();
  readonly #crossDomainReports = new Set<ServerLoad>();
  readonly #lastTagsByPeer = new Map<string, ReadonlySet<number>>();
  #sameDomainTimer: ReturnType<typeof setTimeout> | undefined;
  #tickTimer: ReturnType<typeof setInterval> | undefined;
  #crossDomainSentAt = -Infinity;
  #hasUnsentCrossDomainChange = false;
  #sameDomainSentAt = -Infinity;
  /** Each placement asks; the answer changes with the size of the fleet. */
  #isActive = true;
  #isActiveUntilMilliseconds = -Infinity;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
  }

  /** Whether peers in the own failure domain get reports of this entry. */
  get isActive(): boolean {
    const now = this.#options.clock();
    if (now >= this.#isActiveUntilMilliseconds) {
      this.#isActiveUntilMilliseconds = now + ACTIVE_MILLISECONDS;
      this.#isActive = this.#sameDomainInterval() !== undefined;
    }
    return this.#isActive;
  }

  start(): void {
    this.#tickTimer = setInterval(
      () => this.#tick(),
      this.#options.settings.crossDomain.minimumMilliseconds,
    );
  }

  stop(): void {
    clearTimeout(this.#sameDomainTimer);
    clearInterval(this.#tickTimer);
  }

  /** Schedules a message after an in-flight count has changed. */
  scheduleInFlightUpdate(): void {
    this.#hasUnsentCrossDomainChange = true;
    this.#schedule();
  }

  /** Queues the last report of a server for the next messages. */
  queueReport(server: ServerLoad): void {
    this.#sameDomainReports.add(server);
    this.#crossDomainReports.add(server);
    this.#schedule();
  }

  receive(datagram: LoadDatagram): void {
    this.#applyCounts(datagram);
    this.#applyReports(datagram);
    if (!datagram.isForDomain) return;
    this.#options.socket.send(
      this.#sameDomainPeers().filter(({ incarnation }) =>
        incarnation !== datagram.from
      ).map(({ datagramAddress }) => datagramAddress),
      { ...datagram, isForDomain: false },
    );
  }

  #applyCounts(datagram: LoadDatagram): void {
    const now = this.#options.clock();
    const tags = new Set<number>();
    for (const { tag, count } of decodeInFlightCounts(datagram.inFlight)) {
      tags.add(tag);
      this.#options.servers.findByTag(tag)?.load.recordPeerInFlight(
        datagram.from,
        count,
        now,
      );
    }
    for (const tag of this.#lastTagsByPeer.get(datagram.from) ?? []) {
      if (tags.has(tag)) continue;
      this.#options.servers.findByTag(tag)?.load.recordPeerInFlight(
        datagram.from,
        0,
        now,
      );
    }
    this.#lastTagsByPeer.set(datagram.from, tags);
  }

  #applyReports(datagram: LoadDatagram): void {
    const now = this.#options.clock();
    for (const each of decodeReports(datagram.reports)) {
      const server = this.#options.servers.findByTag(each.tag)?.load;
      server?.recordReport(each.report, now - each.ageMilliseconds);
    }
  }

  #schedule(): void {
    if (this.#sameDomainTimer !== undefined) return;
    const interval = this.#sameDomainInterval();
    if (interval === undefined) return this.#sameDomainReports.clear();
    this.#sameDomainTimer = setTimeout(
      () => this.#sendToSameDomain(),
      interval,
    );
  }

  #sameDomainInterval(): number | undefined {
    return loadExchangeInterval({
      senders: this.#sameDomainPeers().length,
      ...this.#options.settings.sameDomain,
    });
  }

  #sendToSameDomain(): void {
    this.#sameDomainTimer = undefined;
    this.#sameDomainSentAt = this.#options.clock();
    this.#options.socket.send(
      this.#sameDomainPeers().map(({ datagramAddress }) => datagramAddress),
      this.#makeDatagram(this.#sameDomainReports, false),
    );
    this.#sameDomainReports.clear();
  }

  #tick(): void {
    this.#repeatCounts();
    const interval = loadExchangeInterval({
      senders: this.#options.peers().length,
      ...this.#options.settings.crossDomain,
    });
    if (interval === undefined) return this.#crossDomainReports.clear();
    const elapsed = this.#options.clock() - this.#crossDomainSentAt;
    if (elapsed >= interval - TIMER_TOLERANCE_MILLISECONDS) {
      this.#sendToOtherDomains();
    }
  }

  /** Repeats unchanged counts; those of an idle entry expire by themselves. */
  #repeatCounts(): void {
    const elapsed = this.#options.clock() - this.#sameDomainSentAt;
    if (elapsed <= REPEAT_MILLISECONDS) return;
    for (const { load } of this.#options.servers.all()) {
      if (load.ownInFlight > 0) return this.#schedule();
    }
  }

  #sendToOtherDomains(): void {
    if (
      !this.#hasUnsentCrossDomainChange && this.#crossDomainReports.size === 0
    ) return;
    this.#hasUnsentCrossDomainChange = false;
    this.#crossDomainSentAt = this.#options.clock();
    this.#options.socket.send(
      this.#relayAddresses(),
      this.#makeDatagram(this.#crossDomainReports, true),
    );
    this.#crossDomainReports.clear();
  }

  #makeDatagram(
    reported: ReadonlySet<ServerLoad>,
    isForDomain: boolean,
  ): LoadDatagram {
    const counts = [];
    for (const { load, tag } of this.#options.servers.all()) {
      if (load.ownInFlight > 0) counts.push({ tag, count: load.ownInFlight });
    }
    return {
      kind: "load",
      from: this.#options.self,
      inFlight: encodeInFlightCounts(counts),
      reports: encodeReports(this.#taggedReports(reported)),
      isForDomain,
    };
  }

  #taggedReports(reported: ReadonlySet<ServerLoad>): TaggedReport[] {
    const now = this.#options.clock();
    const reports: TaggedReport[] = [];
    for (const { load, tag } of this.#options.servers.all()) {
      const { lastReport } = load;
      if (lastReport === undefined || !reported.has(load)) continue;
      reports.push({
        tag,
        report: lastReport,
        ageMilliseconds: now - lastReport.atMilliseconds,
      });
    }
    return reports;
  }

  #sameDomainPeers(): MemberRecord[] {
    return peersInDomain(this.#options.peers(), this.#options.failureDomain);
  }

  /** Datagram address of one entry of each other failure domain. */
  #relayAddresses(): string[] {
    const { self, failureDomain, peers } = this.#options;
    const sender = { incarnation: self, failureDomain };
    const { relays } = receiversInOtherDomains(sender, peers(), 0);
    return relays.map(({ datagramAddress }) => datagramAddress);
  }
}
