/**
 * Tells peers what this entry has in flight and what servers reported.
 *
 * Inside the failure domain, where bytes cost little, changes are sent within
 * a few milliseconds. Other failure domains get a summary more seldom, through
 * one of their entries, which passes it on.
 */
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Clock, FailureDomain } from "@marigoldford/kernel/types";
import { rankMembers } from "@marigoldford/kernel/rendezvous";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import {
  decodeInFlightCounts,
  decodeReports,
  encodeInFlightCounts,
  encodeReports,
  type TaggedReport,
} from "./load_codec.ts";
import type { ServerTable } from "./server_table.ts";

export type LoadExchangeSettings = {
  /** Pause between messages inside the failure domain. */
  readonly sameDomainIntervalMilliseconds: number;
  /** Pause between messages to other failure domains. */
  readonly crossDomainIntervalMilliseconds: number;
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

/** In-flight counts are repeated after this although nothing changed. */
const REPEAT_MILLISECONDS = 400;

export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #nearReports = new Set<ServerLoad>();
  readonly #farReports = new Set<ServerLoad>();
  readonly #lastTags = new Map<string, ReadonlySet<number>>();
  #nearTimer: ReturnType<typeof setTimeout> | undefined;
  #farTimer: ReturnType<typeof setInterval> | undefined;
  #hasFarChange = false;
  #sentNearAt = -Infinity;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
  }

  start(): void {
    const { crossDomainIntervalMilliseconds: crossDomainIntervalMilliseconds } =
      this.#options.settings;
    this.#farTimer = setInterval(
      () => this.#sendFar(),
      crossDomainIntervalMilliseconds,
    );
  }

  stop(): void {
    clearTimeout(this.#nearTimer);
    clearInterval(this.#farTimer);
  }

  /** The number in flight at some server has changed. */
  scheduleInFlightUpdate(): void {
    this.#hasFarChange = true;
    this.#schedule();
  }

  /** A server has reported to this entry. */
  queueReport(server: ServerLoad): void {
    this.#nearReports.add(server);
    this.#farReports.add(server);
    this.#schedule();
  }

  receive(datagram: LoadDatagram): void {
    this.#takeCounts(datagram);
    this.#takeReports(datagram);
    if (!datagram.isForDomain) return;
    this.#options.socket.send(
      this.#nearPeers().filter(({ incarnation }) =>
        incarnation !== datagram.from
      ).map(({ datagramAddress }) => datagramAddress),
      { ...datagram, isForDomain: false },
    );
  }

  #takeCounts(datagram: LoadDatagram): void {
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
    for (const tag of this.#lastTags.get(datagram.from) ?? []) {
      if (tags.has(tag)) continue;
      this.#options.servers.findByTag(tag)?.load.recordPeerInFlight(
        datagram.from,
        0,
        now,
      );
    }
    this.#lastTags.set(datagram.from, tags);
  }

  #takeReports(datagram: LoadDatagram): void {
    const now = this.#options.clock();
    for (const each of decodeReports(datagram.reports)) {
      const server = this.#options.servers.findByTag(each.tag)?.load;
      server?.recordReport(each.report, now - each.ageMilliseconds);
    }
  }

  #schedule(): void {
    if (this.#nearTimer !== undefined) return;
    this.#nearTimer = setTimeout(
      () => this.#sendNear(),
      this.#options.settings.sameDomainIntervalMilliseconds,
    );
  }

  #sendNear(): void {
    this.#nearTimer = undefined;
    this.#sentNearAt = this.#options.clock();
    this.#options.socket.send(
      this.#nearPeers().map(({ datagramAddress }) => datagramAddress),
      this.#datagram(this.#nearReports, false),
    );
    this.#nearReports.clear();
  }

  #sendFar(): void {
    const now = this.#options.clock();
    if (now - this.#sentNearAt > REPEAT_MILLISECONDS) this.#schedule();
    if (!this.#hasFarChange && this.#farReports.size === 0) return;
    this.#hasFarChange = false;
    this.#options.socket.send(
      this.#relays(),
      this.#datagram(this.#farReports, true),
    );
    this.#farReports.clear();
  }

  #datagram(
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
      reports: encodeReports(this.#reports(reported)),
      isForDomain,
    };
  }

  #reports(reported: ReadonlySet<ServerLoad>): TaggedReport[] {
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

  #nearPeers(): MemberRecord[] {
    return this.#options.peers().filter(({ failureDomain }) =>
      failureDomain === this.#options.failureDomain
    );
  }

  /** One entry of each other failure domain. */
  #relays(): string[] {
    const byDomain = new Map<FailureDomain, Map<string, string>>();
    for (const peer of this.#options.peers()) {
      if (peer.failureDomain === this.#options.failureDomain) continue;
      let members = byDomain.get(peer.failureDomain);
      if (members === undefined) {
        byDomain.set(peer.failureDomain, members = new Map());
      }
      members.set(peer.incarnation, peer.datagramAddress);
    }
    const relays: string[] = [];
    for (const members of byDomain.values()) {
      const [first] = rankMembers(this.#options.self, members.keys());
      const address = members.get(first);
      if (address !== undefined) relays.push(address);
    }
    return relays;
  }
}
