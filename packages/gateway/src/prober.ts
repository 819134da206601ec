/**
 * Probes the load and health of backend servers: right before a request is sent
 * to one, and when its last load report is too old.
 *
 * While entries exchange load reports, a server with an old report is probed by
 * one entry of the fleet. That entry is selected by rendezvous hashing among the
 * live members in the server's failure domain, or among all if there are none.
 * All probes draw on one budget.
 */
import type { Socket } from "node:net";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { RateBudget } from "@marigoldford/kernel/rate_budget";
import { highestRanked } from "@marigoldford/kernel/rendezvous";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import type { ServerReach } from "@marigoldford/kernel/server_reach";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type {
  Clock,
  FailureDomain,
  ServiceName,
} from "@marigoldford/kernel/types";
import type { AnswerHead } from "./answer_head.ts";
import { type CallerProtocol, singleHeader } from "./caller_protocol.ts";
import { ProbeConnection } from "./probe_connection.ts";
import type { OnTransferred } from "./traffic_meter.ts";
import type { ServerTable } from "./server_table.ts";

export type ProberSettings = {
  /** A server is probed when its last report is older than this. */
  readonly maximumReportAgeMilliseconds: number;
  /** A server that has not answered after this time counts as silent. */
  readonly timeoutMilliseconds: number;
  /** Longest time that a request waits for a probe. */
  readonly maximumWaitMilliseconds: number;
};

/**
 * `unasked`: the budget is exhausted, the server has asked for a pause, or the
 * service is no longer known.
 */
export type ProbeResult = "answered" | "failed" | "silent" | "unasked";

export type ProberOptions = {
  readonly self: string;
  readonly failureDomain: FailureDomain;
  readonly clock: Clock;
  readonly settings: ProberSettings;
  readonly budget: RateBudget;
  readonly protocol: CallerProtocol;
  readonly servers: ServerTable;
  readonly members: () => readonly MemberRecord[];
  /** Whether peers get the reports that this entry reads. */
  readonly areReportsExchanged: () => boolean;
  readonly healthPathOf: (service: ServiceName) => string | undefined;
  readonly onReport: (server: ServerLoad) => void;
  /** Is told the head of a health check that the server itself answered. */
  readonly onHealthCheck: (server: ServerLoad, head: AnswerHead) => void;
  readonly onProbe: () => void;
  readonly onTransferred?: OnTransferred;
  readonly reach: ServerReach;
};

const TICK_INTERVAL_MILLISECONDS = 100;
/** Interval at which the servers to probe are assigned to entries again. */
const REASSIGN_MILLISECONDS = 500;
/** Servers that limit their requests are probed less often. */
const LIMITED_REPORT_AGE_MILLISECONDS = 2_000;
/**
 * Servers that came back are asked whether they are cold, this many in a tick.
 * More would use up the budget that requests need for their probes.
 */
const MAXIMUM_WARMTH_PROBES = 2;
const HEALTHY_STATUS = 200;

export class Prober {
  readonly #options: ProberOptions;
  readonly #connections = new Map<string, ProbeConnection>();
  readonly #pending = new Map<string, Promise<ProbeResult>>();
  #assigned: ServerLoad[] = [];
  #assignedAt = -Infinity;
  #warmthTurn = 0;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    const connections = [...this.#connections.values()];
    this.#connections.clear();
    for (const connection of connections) connection.close();
  }

  /** Whether a connection for probes of a server is open. */
  isConnected(id: string): boolean {
    return this.#connections.get(id)?.isOpen ?? false;
  }

  /**
   * Connection on which a server has just answered a probe, if it is idle.
   * Where servers are probed all the time, their connections stay in use.
   */
  takeConnection({ id, address }: ServerRegistration): Socket | undefined {
    if (this.#options.areReportsExchanged()) return undefined;
    const connection = this.#connections.get(id);
    // The same server may have moved to another address.
    return connection?.address === address
      ? connection.takeSocket()
      : undefined;
  }

  /** Makes the next tick assign the servers to entries again. */
  reassign(): void {
    this.#assignedAt = -Infinity;
  }

  /** Probes a server, but waits no longer than a request may wait. */
  async probeForRequest(server: ServerLoad): Promise<ProbeResult> {
    let timer: ReturnType<typeof setTimeout> | undefined;
    const timeout = new Promise<ProbeResult>((resolve) => {
      timer = setTimeout(
        () => resolve("silent"),
        this.#options.settings.maximumWaitMilliseconds,
      );
    });
    const result = await Promise.race([this.probe(server), timeout]);
    clearTimeout(timer);
    return result;
  }

  /** Probes a server, or joins a probe that is in progress. */
  probe(server: ServerLoad): Promise<ProbeResult> {
    const { id, service } = server.registration;
    const pending = this.#pending.get(id);
    if (pending !== undefined) return pending;
    const { clock, budget, healthPathOf } = this.#options;
    const path = healthPathOf(service);
    const mayProbe = path !== undefined &&
      !server.restrictions.isPaused(clock()) && budget.trySpend();
    if (!mayProbe) return Promise.resolve("unasked");
    this.#options.onProbe();
    const probe = this.#sendProbe(server, path).finally(() =>
      this.#pending.delete(id)
    );
    this.#pending.set(id, probe);
    return probe;
  }

  /** Probes a server on a new connection, without regard to the budget. */
  async check(server: ServerLoad): Promise<ProbeResult> {
    const { service } = server.registration;
    const { healthPathOf, clock, onProbe } = this.#options;
    const path = healthPathOf(service);
    if (path === undefined || server.restrictions.isPaused(clock())) {
      return "unasked";
    }
    onProbe();
    const connection = this.#makeConnection(server);
    const result = await this.#getInTime(connection, path);
    connection.close();
    return typeof result === "string" ? result : "answered";
  }

  /** The answer to a probe, or why there is none. */
  async #getInTime(
    connection: ProbeConnection,
    path: string,
  ): Promise<AnswerHead | "failed" | "silent"> {
    let isSilent = false;
    const timer = setTimeout(() => {
      isSilent = true;
      connection.close();
    }, this.#options.settings.timeoutMilliseconds);
    const answer = await connection.get(path);
    clearTimeout(timer);
    return answer ?? (isSilent ? "silent" : "failed");
  }

  #tick(): void {
    const now = this.#options.clock();
    if (now - this.#assignedAt > REASSIGN_MILLISECONDS) this.#assign(now);
    this.#probeUnknownWarmth();
    if (!this.#options.areReportsExchanged()) return;
    const { maximumReportAgeMilliseconds } = this.#options.settings;
    for (const server of this.#assigned) {
      if (this.#pending.has(server.registration.id)) continue;
      const isLimited = server.restrictions.requestLimit !== "none";
      const maximumAge = isLimited
        ? LIMITED_REPORT_AGE_MILLISECONDS
        : maximumReportAgeMilliseconds;
      if (server.reportAgeMilliseconds(now) < maximumAge) continue;
      void this.probe(server);
    }
  }

  #probeUnknownWarmth(): void {
    const unknown: ServerLoad[] = [];
    for (const { load } of this.#options.servers.all()) {
      const isPending = this.#pending.has(load.registration.id);
      if (load.isWarmthUnknown && !isPending) unknown.push(load);
    }
    // Servers that do not answer must not keep the others from being asked.
    const count = Math.min(MAXIMUM_WARMTH_PROBES, unknown.length);
    for (let probes = 0; probes < count; probes++) {
      this.#warmthTurn += 1;
      void this.probe(unknown[this.#warmthTurn % unknown.length]);
    }
  }

  #assign(now: number): void {
    this.#assignedAt = now;
    this.#closeUnusedConnections();
    const members = this.#options.members();
    const all = members.map(({ incarnation }) => incarnation);
    const domains = new Set(members.map(({ failureDomain }) => failureDomain));
    const { self, failureDomain: ownDomain } = this.#options;
    const ownDomainMembers = members.filter(({ failureDomain }) =>
      failureDomain === ownDomain
    ).map(({ incarnation }) => incarnation);
    this.#assigned = [];
    for (const { load } of this.#options.servers.all()) {
      const { id, failureDomain } = load.registration;
      const isOwnDomain = failureDomain === ownDomain;
      if (!isOwnDomain && domains.has(failureDomain)) continue;
      const owner = highestRanked(id, isOwnDomain ? ownDomainMembers : all);
      if (owner === self) this.#assigned.push(load);
    }
  }

  /** Closes connections to servers that are gone or have another address. */
  #closeUnusedConnections(): void {
    for (const [id, connection] of this.#connections) {
      const { registration } = this.#options.servers.find(id)?.load ?? {};
      if (registration?.address === connection.address) continue;
      this.#connections.delete(id);
      connection.close();
    }
  }

  #makeConnection({ registration }: ServerLoad): ProbeConnection {
    const { clock, onTransferred } = this.#options;
    return new ProbeConnection(
      registration.address,
      clock,
      (bytes) => onTransferred?.("probe", registration, bytes),
    );
  }

  #connectionTo(server: ServerLoad): ProbeConnection {
    const { id, address } = server.registration;
    let connection = this.#connections.get(id);
    if (connection?.address === address) return connection;
    connection?.close();
    connection = this.#makeConnection(server);
    this.#connections.set(id, connection);
    return connection;
  }

  /** Probes on an idle connection of requests, which may then take it back. */
  #adoptIdle(server: ServerLoad, connection: ProbeConnection): boolean {
    if (this.#options.areReportsExchanged()) return false;
    const { id } = server.registration;
    const socket = this.#options.servers.find(id)?.connections.takeIdle();
    if (socket !== undefined) connection.adopt(socket);
    return socket !== undefined;
  }

  async #sendProbe(server: ServerLoad, path: string): Promise<ProbeResult> {
    const { reach, clock } = this.#options;
    const connection = this.#connectionTo(server);
    const isReused = connection.isOpen || this.#adoptIdle(server, connection);
    let result = await this.#getInTime(connection, path);
    // That a server has dropped an idle connection says nothing of its health.
    const isKept = this.#connections.get(server.registration.id) === connection;
    if (result === "failed" && isReused && isKept) {
      this.#options.onProbe();
      result = await this.#getInTime(connection, path);
    }
    const { id, service } = server.registration;
    if (typeof result !== "string") {
      reach.recordAnswer(service);
      this.#onAnswer(server, result);
      return "answered";
    }
    reach.recordFailure(service, id, "silence");
    server.recordOutcome(result, clock());
    return result;
  }

  #onAnswer(server: ServerLoad, head: AnswerHead): void {
    const { status, headers } = head;
    const { protocol, clock, onReport, onHealthCheck } = this.#options;
    const { id } = server.registration;
    if (singleHeader(headers, protocol.headers.serverId) !== id) return;
    server.recordReportedHealth(status === HEALTHY_STATUS);
    onHealthCheck(server, head);
    const report = protocol.readLoad(headers, "probe");
    if (report === undefined) return server.recordMissingReport();
    if (server.recordReport(report, clock())) onReport(server);
  }
}
