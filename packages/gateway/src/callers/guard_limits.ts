/**
 * Limits of a guard, derived from what the instance has.
 */
import { getHeapStatistics } from "node:v8";
import type { GatewayOptions } from "../options.ts";

export type ServerRole = "calls" | "peers" | "auxiliary";

type Limits = GatewayOptions["limits"];

const MEGABYTE = 1_048_576;
/** The program beside its heap takes 60 MB, its own heap 20 to 30 MB. */
const OWN_MEMORY_MEGABYTES = 90;
const OWN_HEAP_MEGABYTES = 20;
/** V8 adds three young generations of 16 MB to the limit of the old one. */
const YOUNG_GENERATION_MEGABYTES = 48;
/** The rest is for garbage, which a flood leaves faster than it is collected. */
const BUDGET_SHARE = 0.4;
const MINIMUM_BUDGET_MEGABYTES = 2;
const DEFAULT_DESCRIPTORS = 4_096;
/** The rest is for connections to servers and messages between entries. */
const SHARE_OF_DESCRIPTORS: Readonly<Record<ServerRole, number>> = {
  calls: 1 / 2,
  // Beyond the largest fleet that was played, which has one for each peer.
  peers: 3 / 16,
  auxiliary: 1 / 32,
};
/** Callers of the platform send one request at a time on a connection. */
const DEFAULT_UNANSWERED = 64;
const MAXIMUM_AUXILIARY_UNANSWERED = 16;

/** Memory for the connections of callers. */
export function budgetBytes({ memoryMegabytes }: Limits = {}): number {
  const heap = getHeapStatistics().heap_size_limit / MEGABYTE;
  const free = Math.min(
    (memoryMegabytes ?? Infinity) - OWN_MEMORY_MEGABYTES,
    heap - YOUNG_GENERATION_MEGABYTES - OWN_HEAP_MEGABYTES,
  );
  return Math.max(MINIMUM_BUDGET_MEGABYTES, free * BUDGET_SHARE) * MEGABYTE;
}

export function maximumConnections(
  { descriptors = DEFAULT_DESCRIPTORS }: Limits = {},
  role: ServerRole,
): number {
  return Math.max(2, Math.floor(descriptors * SHARE_OF_DESCRIPTORS[role]));
}

/** Requests without an answer on one connection. */
export function maximumUnanswered(
  { unansweredRequests = DEFAULT_UNANSWERED }: Limits = {},
  role: ServerRole,
): number {
  return role === "auxiliary"
    ? MAXIMUM_AUXILIARY_UNANSWERED
    : unansweredRequests;
}
