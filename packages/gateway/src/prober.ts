/**
 * Asks backend servers for their load: right before a request is sent to one,
 * and now and then by one entry of the fleet each, to learn of their health.
 *
 * The entry that asks a quiet server follows from the live members by
 * rendezvous hashing, among those of the server's failure domain where there
 * are any. All questions draw on one budget.
 */
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { RateBudget } from "@marigoldford/kernel/rate_budget";
import { rankMembers } from "@marigoldford/kernel/rendezvous";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Clock, ServiceName } from "@marigoldford/kernel/types";
import type { AnswerHead } from "./answer_head.ts";
import { type CallerProtocol, singleHeader } from "./caller_protocol.ts";
import { ProbeConnection } from "./probe_connection.ts";
import type { ServerTable } from "./server_table.ts";

export type ProberSettings = {
  /** A quiet server is asked when its last report is this old. */
  readonly maximumReportAgeMilliseconds: number;
  /** A server that has not answered by then counts as silent. */
  readonly timeoutMilliseconds: number;
  /** A request waits this long at the most for an answer. */
  readonly maximumWaitMilliseconds: number;
};

/** `unasked`: the budget is spent, or the service is not known any more. */
export type ProbeResult = "answered" | "failed" | "silent" | "unasked";

export type ProberOptions = {
  readonly self: string;
  readonly clock: Clock;
  readonly settings: ProberSettings;
  readonly budget: RateBudget;
  readonly protocol: CallerProtocol;
  readonly servers: ServerTable;
  readonly members: () => readonly MemberRecord[];
  readonly healthPathOf: (service: ServiceName) => string | undefined;
  readonly onReport: (server: ServerLoad) => void;
  readonly onProbe: () => void;
};

const TICK_MILLISECONDS = 100;
/** Ownership is worked out again this often. */
const ASSIGN_MILLISECONDS = 500;
const HEALTHY = 200;

export class Prober {
  readonly #options: ProberOptions;
  readonly #lines = new Map<string, ProbeConnection>();
  readonly #pending = new Map<string, Promise<ProbeResult>>();
  #owned: ServerLoad[] = [];
  #assignedAt = -Infinity;
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const line of this.#lines.values()) line.close();
  }

  /** Makes the next tick work out ownership again. */
  reassign(): void {
    this.#assignedAt = -Infinity;
  }

  /** Asks a server and waits no longer for it than a request may wait. */
  async askBriefly(server: ServerLoad): Promise<ProbeResult> {
    let timer: ReturnType<typeof setTimeout> | undefined;
    const patience = new Promise<ProbeResult>((resolve) => {
      timer = setTimeout(
        () => resolve("silent"),
        this.#options.settings.maximumWaitMilliseconds,
      );
    });
    const result = await Promise.race([this.probe(server), patience]);
    clearTimeout(timer);
    return result;
  }

  /** Asks a server, or joins a question that is under way. */
  probe(server: ServerLoad): Promise<ProbeResult> {
    const { id, service } = server.registration;
    const pending = this.#pending.get(id);
    if (pending !== undefined) return pending;
    const path = this.#options.healthPathOf(service);
    if (path === undefined || !this.#options.budget.trySpend()) {
      return Promise.resolve("unasked");
    }
    this.#options.onProbe();
    const question = this.#exchange(server, path).finally(() =>
      this.#pending.delete(id)
    );
    this.#pending.set(id, question);
    return question;
  }

  #tick(): void {
    const now = this.#options.clock();
    if (now - this.#assignedAt > ASSIGN_MILLISECONDS) this.#assign(now);
    const { maximumReportAgeMilliseconds: quietMilliseconds } =
      this.#options.settings;
    for (const server of this.#owned) {
      if (this.#pending.has(server.registration.id)) continue;
      if (server.reportAgeMilliseconds(now) < quietMilliseconds) continue;
      void this.probe(server);
    }
  }

  #assign(now: number): void {
    this.#assignedAt = now;
    this.#closeLines();
    const members = this.#options.members();
    const all = members.map(({ incarnation }) => incarnation);
    this.#owned = [];
    for (const { load } of this.#options.servers.all()) {
      const { id, failureDomain } = load.registration;
      const near = members.filter((member) =>
        member.failureDomain === failureDomain
      ).map(({ incarnation }) => incarnation);
      const [owner] = rankMembers(id, near.length > 0 ? near : all);
      if (owner === this.#options.self) this.#owned.push(load);
    }
  }

  /** Closes the lines to servers that are gone or have moved. */
  #closeLines(): void {
    for (const [id, line] of this.#lines) {
      const { registration } = this.#options.servers.find(id)?.load ?? {};
      if (registration?.address === line.address) continue;
      line.close();
      this.#lines.delete(id);
    }
  }

  #lineTo({ registration: { id, address } }: ServerLoad): ProbeConnection {
    let line = this.#lines.get(id);
    if (line?.address === address) return line;
    line?.close();
    line = new ProbeConnection(address);
    this.#lines.set(id, line);
    return line;
  }

  async #exchange(server: ServerLoad, path: string): Promise<ProbeResult> {
    const line = this.#lineTo(server);
    let isSilent = false;
    const timer = setTimeout(() => {
      isSilent = true;
      line.close();
    }, this.#options.settings.timeoutMilliseconds);
    const answer = await line.get(path);
    clearTimeout(timer);
    if (answer !== undefined) {
      this.#take(server, answer);
      return "answered";
    }
    const verdict = isSilent ? "silent" : "failed";
    server.recordOutcome(verdict, this.#options.clock());
    return verdict;
  }

  #take(server: ServerLoad, { status, headers }: AnswerHead): void {
    const { protocol, clock, onReport } = this.#options;
    const { id } = server.registration;
    if (singleHeader(headers, protocol.headers.serverId) !== id) return;
    server.recordReportedHealth(status === HEALTHY);
    const report = protocol.readLoad(headers);
    if (report === undefined) return;
    if (server.recordReport(report, clock())) onReport(server);
  }
}
