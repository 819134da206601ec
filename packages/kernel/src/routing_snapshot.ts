/**
 * A complete, versioned statement of how requests are routed.
 *
 * A snapshot replaces the one before it as a whole. Its version only rises,
 * so that an entry which receives one from a slow source never goes back.
 */
import type { Address, FailureDomain, ServiceName } from "./types.ts";

/**
 * What may be repeated.
 *
 * - `idempotent`: may run more than once.
 * - `at-most-once`: may run once for each request that a caller sends.
 * - `download`: idempotent, with answers that are large.
 */
export type RouteKind = "idempotent" | "at-most-once" | "download";

/** One part of a route's traffic. */
export type WeightedService = {
  readonly service: ServiceName;
  /** Share of the traffic, relative to the other parts of the route. */
  readonly weight: number;
};

export type SnapshotRoute = {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request of the route may be kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer has its full worth to the caller. */
  readonly objectiveMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Backend servers that one request may be sent to at the most. */
  readonly maximumAttempts: number;
  readonly services: readonly WeightedService[];
};

export type SnapshotService = {
  readonly name: ServiceName;
  readonly healthPath: string;
  readonly maximumConnections: number;
};

/** What a caller may send, and how long it may take. */
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

/** What a backend server says of itself where instances are discovered. */
export type ServerRegistration = {
  readonly id: string;
  readonly service: ServiceName;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  /** Requests that it works on at the same time. */
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** How much longer it stays slow after its start. */
  readonly warmUpLeftMilliseconds: number;
  /** Start of this run of the backend server, in Unix milliseconds. */
  readonly bornAtMilliseconds: number;
  /** Counts what this run has said; a lower one is older. */
  readonly sequence: number;
};
