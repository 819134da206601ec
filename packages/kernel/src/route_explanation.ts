/**
 * The explanation of where a request would go, as entries answer it and the
 * command line reads it, and the decision in it.
 *
 * The decision follows the order of a request exchange: a request that others
 * are queued ahead of is queued as well; otherwise it is placed, and queued if
 * no server may get it now but one may in time.
 */
import type { PlacementResult } from "./placement.ts";
import type {
  CandidateRestriction,
  CandidateVerdict,
} from "./placement_explanation.ts";
import type { RoutingSnapshot, SnapshotRoute } from "./routing_snapshot.ts";
import { normalizeHost } from "./snapshot_router.ts";

/** Numbers that are infinite are null in JSON: no report, no end of a wait. */
export type CandidateExplanation = {
  readonly server: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly verdict: CandidateVerdict;
  readonly restrictions: readonly CandidateRestriction[];
  readonly slots: number;
  /** What follows is missing for a server that the entry does not use. */
  readonly load?: number;
  /** Without a recent report, at least the usual load of the service. */
  readonly assumedLoad?: number;
  readonly concurrencyLimit?: number;
  readonly reportAgeMilliseconds?: number | null;
  /** Of the last report; 1 is the usual speed. */
  readonly reportedSlowdown?: number | null;
  readonly expectedMilliseconds?: number;
  readonly score?: number;
  readonly heldBackMilliseconds?: number | null;
};

export type QueueCause =
  | "requests-ahead"
  | "held-back"
  | "full"
  | "late"
  | "unknown";

export type RouteDecision =
  | {
    readonly kind: "send";
    readonly server: string;
    readonly expectedMilliseconds: number;
  }
  /** This entry does not reach the servers, but a peer may. */
  | { readonly kind: "pass-on" }
  | { readonly kind: "queue"; readonly cause: QueueCause }
  | {
    readonly kind: "refuse";
    readonly cause:
      | "starting"
      | "leaving"
      | "no-server"
      | "no-room"
      | "held-back";
    /** For `held-back`; null if it ends only with a new statement. */
    readonly heldBackMilliseconds?: number | null;
  };

export type ServiceExplanation = {
  readonly service: string;
  readonly weight: number;
  /** Share of the requests of the route. */
  readonly share: number;
  readonly decision: RouteDecision;
  /** A load probe that is sent first and may change the decision. */
  readonly probeFirst?: {
    readonly server: string;
    readonly reportAgeMilliseconds: number | null;
  };
  readonly queue: { readonly length: number; readonly ahead: number };
  /** Best first. */
  readonly candidates: readonly CandidateExplanation[];
};

export type RouteExplanation = {
  readonly entry: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly configurationVersion: number;
  readonly route: Omit<SnapshotRoute, "services">;
  /** Whether the request would first wait for the discovery service. */
  readonly waitsForDiscovery: boolean;
  /** One for each service of the route. */
  readonly services: readonly ServiceExplanation[];
};

export type RouteUnknown = {
  readonly error:
    | "invalid-path"
    | "no-configuration"
    | "unknown-host"
    | "unknown-path";
  readonly given: string;
  readonly expected: string;
  /** Hosts, or prefixes of the host: the first ones in order. */
  readonly known: readonly string[];
  readonly knownCount: number;
};

const MAXIMUM_KNOWN = 20;

/** States which of host and path a snapshot has no route for. */
export function describeUnknown(
  { routes }: RoutingSnapshot,
  host: string,
  path: string,
): RouteUnknown {
  const prefixes = routes
    .filter((route) => normalizeHost(route.host) === normalizeHost(host))
    .map(({ pathPrefix }) => pathPrefix);
  const isHostKnown = prefixes.length > 0;
  const names = isHostKnown
    ? prefixes
    : routes.map((route) => normalizeHost(route.host));
  const known = [...new Set(names)].sort();
  return {
    error: isHostKnown ? "unknown-path" : "unknown-host",
    given: isHostKnown ? path : host,
    expected: isHostKnown
      ? "a path that begins with a known prefix"
      : "a known host",
    known: known.slice(0, MAXIMUM_KNOWN),
    knownCount: known.length,
  };
}

/** What decides about a request of a service, in the order of its use. */
export type DecisionInputs = {
  readonly isStarting: boolean;
  readonly isLeaving: boolean;
  readonly isCut: boolean;
  readonly hasRequestsAhead: boolean;
  /** Whether the queue would accept the request. */
  readonly isExpectedInTime: boolean;
  /** Whether a request may wait in the queue for a time. */
  readonly mayWait: (milliseconds: number) => boolean;
  readonly result: PlacementResult;
};

export function decide(inputs: DecisionInputs): RouteDecision {
  const { result } = inputs;
  if (inputs.isStarting) return { kind: "refuse", cause: "starting" };
  if (inputs.isLeaving) return { kind: "refuse", cause: "leaving" };
  if (inputs.isCut) return { kind: "pass-on" };
  if (inputs.hasRequestsAhead) return queueFor("requests-ahead", inputs);
  if (result.kind === "none") return { kind: "refuse", cause: "no-server" };
  if (result.kind === "placed") {
    const { server, expectedMilliseconds } = result.placement;
    const { id } = server.registration;
    return { kind: "send", server: id, expectedMilliseconds };
  }
  if (result.kind !== "held-back" || inputs.mayWait(result.milliseconds)) {
    return queueFor(result.kind, inputs);
  }
  return {
    kind: "refuse",
    cause: "held-back",
    heldBackMilliseconds: finiteOrNull(result.milliseconds),
  };
}

function queueFor(
  cause: QueueCause,
  { isExpectedInTime }: DecisionInputs,
): RouteDecision {
  return isExpectedInTime
    ? { kind: "queue", cause }
    : { kind: "refuse", cause: "no-room" };
}

export function finiteOrNull(value: number): number | null {
  return Number.isFinite(value) ? value : null;
}
