/**
 * A complete, versioned routing configuration.
 *
 * A snapshot replaces the previous one as a whole. Versions only increase, so
 * that an entry which receives a snapshot from a slow source never returns to
 * an older configuration.
 */
import type { Address, FailureDomain, ServiceName } from "./types.ts";

/**
 * Whether the requests of a route may be repeated.
 *
 * - `idempotent`: may run more than once.
 * - `at-most-once`: may run once for each request that a caller sends.
 * - `download`: idempotent, with large answers.
 */
export type RouteKind = "idempotent" | "at-most-once" | "download";

/** A service and its share of the traffic of a route. */
export type WeightedService = {
  readonly service: ServiceName;
  /** Share of the traffic, relative to the other services of the route. */
  readonly weight: number;
};

export type SnapshotRoute = {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time that a caller is kept waiting for an answer. */
  readonly timeoutMilliseconds: number;
  /** Latency objective: time within which callers want an answer. */
  readonly objectiveMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maximumAttempts: number;
  readonly services: readonly WeightedService[];
};

export type SnapshotService = {
  readonly name: ServiceName;
  readonly healthPath: string;
  readonly maximumConnections: number;
  /**
   * Requests a second that a server which warms up takes from all entries
   * together; missing or 0 if there is no such limit.
   */
  readonly warmUpRequestsPerSecond?: number;
};

/** Limits on the size of requests and on the time to receive them. */
export type RequestLimits = {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
};

export type RoutingSnapshot = {
  readonly version: number;
  readonly routes: readonly SnapshotRoute[];
  readonly services: readonly SnapshotService[];
  readonly limits: RequestLimits;
};

/** Registration of a backend server at the discovery service. */
export type ServerRegistration = {
  readonly id: string;
  readonly service: ServiceName;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  /** Number of requests that the server processes at the same time. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Remaining time in which the server is slow after its start. */
  readonly warmUpLeftMilliseconds: number;
  /** Start of this process of the backend server, in Unix milliseconds. */
  readonly bornAtMilliseconds: number;
  /** Increases with each registration of this process; a lower one is older. */
  readonly sequence: number;
};
