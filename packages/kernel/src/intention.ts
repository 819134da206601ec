/**
 * Intentions: the configuration that operators declare, one row of a sheet
 * each.
 */
import type { Address, FailureDomain, ServiceName } from "./types.ts";

export const INTENTION_KINDS = [
  "service-rule",
  "backend-server",
  "protected",
  "retiring",
  "limit",
  "budget",
] as const;
export type IntentionKind = typeof INTENTION_KINDS[number];

export const LIMIT_NAMES = [
  "in-flight-per-slot",
  "queue-length",
  "deadline-milliseconds",
] as const;
export type LimitName = typeof LIMIT_NAMES[number];

export const BUDGET_NAMES = [
  "probe-slot-share",
  "retry-share",
  "hedge-share",
] as const;
export type BudgetName = typeof BUDGET_NAMES[number];

/** Routes calls that match `host`, `method` and `pathPrefix` to `service`. */
export type ServiceRule = {
  readonly kind: "service-rule";
  readonly service: ServiceName;
  /** Empty matches any host. */
  readonly host: string;
  /** Empty matches any method. */
  readonly method: string;
  readonly pathPrefix: string;
};

/** Assigns a backend server to a service. */
export type BackendServerIntention = {
  readonly kind: "backend-server";
  readonly service: ServiceName;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  /** Maximum number of connections from all entries together. */
  readonly connections: number;
};

/** Calls that run at most once, also where their method is safe. */
export type ProtectedRule = {
  readonly kind: "protected";
  readonly service: ServiceName;
  readonly method: string;
  readonly pathPrefix: string;
};

/** A backend server that must receive no new calls. */
export type RetiringIntention = {
  readonly kind: "retiring";
  readonly address: Address;
};

export type LimitIntention = {
  readonly kind: "limit";
  readonly service: ServiceName;
  readonly name: LimitName;
  readonly value: number;
};

export type BudgetIntention = {
  readonly kind: "budget";
  readonly service: ServiceName;
  readonly name: BudgetName;
  /** A share between 0 and 1. */
  readonly value: number;
};

export type IntentionContent =
  | ServiceRule
  | BackendServerIntention
  | ProtectedRule
  | RetiringIntention
  | LimitIntention
  | BudgetIntention;

/** The platform's value (or file), its version and the line of a row. */
export type IntentionOrigin = {
  readonly valueName: string;
  readonly platformVersion: number;
  readonly line: number;
};

/** One row: a revision of the intention named `intention`. */
export type IntentionRow = {
  readonly intention: string;
  readonly revision: number;
  readonly isWithdrawn: boolean;
  readonly content: IntentionContent;
  /** Digest of everything but the origin. */
  readonly digest: string;
  readonly origin: IntentionOrigin;
};
