/**
 * The backend servers that an entry may use, by service, with their estimated
 * load and the connections to them.
 */
import type { Socket } from "node:net";
import { IdleLimit } from "@marigoldford/kernel/idle_limit";
import type { DiscoveryState } from "@marigoldford/kernel/discovery_state";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import type { ServerRestrictions } from "@marigoldford/kernel/server_restrictions";
import type { Address, ServiceName } from "@marigoldford/kernel/types";
import { ServerConnections } from "./server_connections.ts";
import { shortTag } from "./short_tag.ts";
import type { OnTransferred } from "./traffic_meter.ts";

export type UsableServer = {
  readonly load: ServerLoad;
  readonly connections: ServerConnections;
  /** Short id of the server in messages between entries. */
  readonly tag: number;
};

export type ServerTableOptions = {
  readonly clock: () => number;
  /** Idle connections are closed after this time, or earlier; see IdleLimit. */
  readonly idleMilliseconds: number;
  readonly maximumSockets: number;
  /** An open connection to a server that nothing else uses, if any. */
  readonly takeConnection: (
    registration: ServerRegistration,
  ) => Socket | undefined;
  /** What the run of a server has said of itself. */
  readonly restrictionsOf: (
    registration: ServerRegistration,
  ) => ServerRestrictions;
  readonly onTransferred?: OnTransferred;
};

/**
 * Whether two registrations belong to the same run of a server. A restart, or
 * another address, service or number of slots, counts as a new run.
 */
function isSameRun(left: ServerRegistration, right: ServerRegistration) {
  return left.bornAtMilliseconds === right.bornAtMilliseconds &&
    left.address === right.address && left.service === right.service &&
    left.slots === right.slots;
}

export class ServerTable {
  readonly #options: ServerTableOptions;
  readonly #servers = new Map<string, UsableServer>();
  readonly #idleLimits = new Map<ServiceName, IdleLimit>();
  /** Servers that are registered as ready in an evacuated failure domain. */
  #evacuated: ReadonlySet<string> = new Set();
  #byService = new Map<ServiceName, ServerLoad[]>();
  #byTag = new Map<number, UsableServer>();

  constructor(options: ServerTableOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#servers.size;
  }

  all(): IterableIterator<UsableServer> {
    return this.#servers.values();
  }

  find(id: string): UsableServer | undefined {
    return this.#servers.get(id);
  }

  findByAddress(address: Address): ServerLoad | undefined {
    for (const { load } of this.#servers.values()) {
      if (load.registration.address === address) return load;
    }
    return undefined;
  }

  findByTag(tag: number): UsableServer | undefined {
    return this.#byTag.get(tag);
  }

  ofService(service: ServiceName): readonly ServerLoad[] {
    return this.#byService.get(service) ?? [];
  }

  /** What the servers have said of themselves. */
  restrictions(): ReadonlySet<ServerRestrictions> {
    const all = [...this.#servers.values()];
    return new Set(all.map(({ load }) => load.restrictions));
  }

  /** Gauges: how many servers there are, and how many are restricted. */
  get gauges() {
    const now = this.#options.clock();
    const loads = [...this.#servers.values()].map(({ load }) => load);
    const count = (is: (load: ServerLoad) => boolean) =>
      loads.filter(is).length;
    return {
      servers: loads.length,
      limited_servers: count(({ restrictions }) =>
        restrictions.requestLimit !== "none"
      ),
      leaving_servers: count(({ restrictions }) => restrictions.isLeaving),
      cold_servers: count((load) => load.isCold(now)),
    };
  }

  /**
   * Updates the table to the discovered backend servers. One that comes back
   * after an evacuation may be cold without its registration saying so yet.
   */
  sync(state: DiscoveryState): void {
    const now = this.#options.clock();
    const usable = new Set<string>();
    const evacuated = new Set<string>();
    for (const [id, { registration }] of state.records) {
      if (registration.state !== "ready") continue;
      if (state.isEvacuated(registration.failureDomain)) {
        evacuated.add(id);
        continue;
      }
      usable.add(id);
      this.#addOrUpdate(registration, now);
      if (this.#evacuated.has(id)) this.#servers.get(id)?.load.forgetWarmth();
    }
    this.#evacuated = evacuated;
    for (const id of this.#servers.keys()) {
      if (!usable.has(id)) this.#remove(id);
    }
    this.#rebuildIndexes();
  }

  /** Closes connections that servers may have dropped. */
  closeExpiredConnections(): void {
    for (const { connections } of this.#servers.values()) {
      connections.closeExpired();
    }
  }

  close(): void {
    for (const { connections } of this.#servers.values()) connections.destroy();
  }

  #addOrUpdate(registration: ServerRegistration, now: number): void {
    const existing = this.#servers.get(registration.id);
    if (existing !== undefined) {
      if (isSameRun(existing.load.registration, registration)) {
        existing.load.updateRegistration(registration, now);
        return;
      }
      this.#remove(registration.id);
    }
    this.#servers.set(registration.id, {
      load: new ServerLoad(
        registration,
        now,
        this.#options.restrictionsOf(registration),
      ),
      connections: new ServerConnections({
        ...this.#options,
        idleLimit: this.#idleLimitOf(registration.service),
        takeConnection: () => this.#options.takeConnection(registration),
        onTransferred: (bytes) =>
          this.#options.onTransferred?.("request", registration, bytes),
      }),
      tag: shortTag(registration.id),
    });
  }

  #idleLimitOf(service: ServiceName): IdleLimit {
    let limit = this.#idleLimits.get(service);
    if (limit === undefined) {
      limit = new IdleLimit({
        clock: this.#options.clock,
        maximumMilliseconds: this.#options.idleMilliseconds,
      });
      this.#idleLimits.set(service, limit);
    }
    return limit;
  }

  #remove(id: string): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    server.connections.drain();
    this.#servers.delete(id);
  }

  #rebuildIndexes(): void {
    this.#byService = new Map();
    this.#byTag = new Map();
    for (const server of this.#servers.values()) {
      this.#byTag.set(server.tag, server);
      const { service } = server.load.registration;
      const servers = this.#byService.get(service);
      if (servers === undefined) this.#byService.set(service, [server.load]);
      else servers.push(server.load);
    }
  }
}
