/**
 * Intentions: what operators want, one row of the sheet each.
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

/** Calls of `host`, `method` and `pathPrefix` belong to `service`. */
export type ServiceRule = {
  readonly kind: "service-rule";
  readonly service: ServiceName;
  /** Empty means any host. */
  readonly host: string;
  /** Empty means any method. */
  readonly method: string;
  readonly pathPrefix: string;
};

/** A backend server may take calls of a service. */
export type BackendServerIntention = {
  readonly kind: "backend-server";
  readonly service: ServiceName;
  readonly address: Address;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  /** Connections that the backend server bears from all entries together. */
  readonly connections: number;
};

/** Calls that must not be repeated, whatever their method. */
export type ProtectedRule = {
  readonly kind: "protected";
  readonly service: ServiceName;
  readonly method: string;
  readonly pathPrefix: string;
};

/** A backend server that must receive no new work. */
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

/** Where a row was read. */
export type IntentionOrigin = {
  readonly valueName: string;
  readonly platformVersion: number;
  readonly line: number;
};

/** One row: an intention at one revision. */
export type IntentionRow = {
  readonly intention: string;
  readonly revision: number;
  readonly isWithdrawn: boolean;
  readonly content: IntentionContent;
  /** Digest of everything but the origin. */
  readonly digest: string;
  readonly origin: IntentionOrigin;
};
