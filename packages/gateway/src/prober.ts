/**
 * Asks backend servers for their load, each by one entry of the fleet.
 *
 * The entry that asks a server follows from the live members by rendezvous
 * hashing, among those of the server's failure domain where there are any. A
 * server that has reported on an answer meanwhile is not asked.
 */
import { request } from "node:http";
import { Agent } from "node:http";
import { splitAddress } from "@marigoldford/kernel/address";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { rankMembers } from "@marigoldford/kernel/rendezvous";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Clock, ServiceName } from "@marigoldford/kernel/types";
import { type CallerProtocol, headerText } from "./caller_protocol.ts";
import type { ServerTable } from "./server_table.ts";

export type ProberSettings = {
  /** A server is asked when its last report is this old. */
  readonly intervalMilliseconds: number;
  /** A server that has not answered by then counts as silent. */
  readonly timeoutMilliseconds: number;
};

export type ProberOptions = {
  readonly self: string;
  readonly clock: Clock;
  readonly settings: ProberSettings;
  readonly protocol: CallerProtocol;
  readonly servers: ServerTable;
  readonly members: () => readonly MemberRecord[];
  readonly healthPathOf: (service: ServiceName) => string | undefined;
  readonly onReport: (server: ServerLoad) => void;
  readonly onProbe: () => void;
};

const TICK_MILLISECONDS = 10;
/** Ownership is worked out again this often. */
const ASSIGN_MILLISECONDS = 500;
const HEALTHY = 200;

export class Prober {
  readonly #options: ProberOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly #waiting = new Set<string>();
  readonly #askedAt = new Map<string, number>();
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
    this.#agent.destroy();
  }

  /** Makes the next tick work out ownership again. */
  reassign(): void {
    this.#assignedAt = -Infinity;
  }

  #tick(): void {
    const now = this.#options.clock();
    if (now - this.#assignedAt > ASSIGN_MILLISECONDS) this.#assign(now);
    const { intervalMilliseconds } = this.#options.settings;
    for (const server of this.#owned) {
      const { id } = server.registration;
      if (this.#waiting.has(id)) continue;
      const sinceAsked = now - (this.#askedAt.get(id) ?? -Infinity);
      const age = Math.min(server.reportAgeMilliseconds(now), sinceAsked);
      if (age >= intervalMilliseconds) this.#ask(server);
    }
  }

  #assign(now: number): void {
    this.#assignedAt = now;
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

  #ask(server: ServerLoad): void {
    const { id, address, service } = server.registration;
    const path = this.#options.healthPathOf(service);
    if (path === undefined) return;
    const { host, port } = splitAddress(address);
    this.#waiting.add(id);
    this.#askedAt.set(id, this.#options.clock());
    this.#options.onProbe();
    const probe = request({ host, port, path, agent: this.#agent });
    const timer = setTimeout(() => {
      probe.destroy();
      settle();
      server.noteVerdict("silent", this.#options.clock());
    }, this.#options.settings.timeoutMilliseconds);
    const settle = () => {
      clearTimeout(timer);
      this.#waiting.delete(id);
    };
    probe.on("response", (answer) => {
      answer.resume();
      settle();
      answer.on("error", () => probe.destroy());
      const { protocol } = this.#options;
      if (headerText(answer, protocol.headers.serverId) !== id) return;
      server.noteHealth(answer.statusCode === HEALTHY);
      const report = protocol.readLoad(answer);
      if (report === undefined) return;
      if (server.noteReport(report, this.#options.clock())) {
        this.#options.onReport(server);
      }
    });
    probe.on("error", () => {
      if (!this.#waiting.has(id)) return;
      settle();
      server.noteVerdict("failed", this.#options.clock());
    });
    probe.end();
  }
}
