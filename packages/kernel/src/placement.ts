/**
 * Chooses the backend server where a request is expected to end first.
 *
 * It answers a load in which a third of the servers are several times slower
 * for a few hundred milliseconds at a time, and in which servers slow down
 * when they are nearly full. The expected time is the work of the route at
 * the pace of the server, behind the requests that are there. A request that
 * slows down those beside it, or crosses into another failure domain, is
 * charged for that.
 */
import type { ServerLoad } from "./server_load.ts";
import type { FailureDomain, RandomSource } from "./types.ts";

/** What is known of the request that is to be placed. */
export type PlacementRequest = {
  /** Mean time that an idle server needs for requests of the route. */
  readonly serviceTimeMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Mean size of the answers of the route. */
  readonly answerBytes: number;
  readonly tried: ReadonlySet<string>;
  /** Crossings that cost more latency objectives than this are not made. */
  readonly maximumCrossDomainCostObjectives: number;
  /** Servers that are expected to need longer are not chosen. */
  readonly maximumExpectedMilliseconds: number;
};

/**
 * How servers without a fresh report are judged: with hope when it is decided
 * whom to ask, at the mean when a request must be sent unasked.
 */
export type StaleEstimate = "hopeful" | "mean";

export type PlacementContext = {
  readonly now: number;
  readonly random: RandomSource;
  readonly ownFailureDomain: FailureDomain;
  readonly crossDomainCost: CrossDomainCost;
  readonly staleEstimate: StaleEstimate;
};

/** Cost of sending a request to another failure domain. */
export type CrossDomainCost = {
  readonly roundTripMilliseconds: number;
  /** Latency objectives that a megabyte across is worth. */
  readonly objectivesPerMegabyte: number;
};

export type Placement = {
  readonly server: ServerLoad;
  /** Expected time to the whole answer, without costs and penalties. */
  readonly expectedMilliseconds: number;
  readonly candidateCount: number;
};

/**
 * - `full`: there are servers, but none has room below its limit.
 * - `late`: there is room, but none is expected to answer soon enough.
 */
export type PlacementResult =
  | { readonly kind: "placed"; readonly placement: Placement }
  | { readonly kind: "full" }
  | { readonly kind: "late" }
  | { readonly kind: "none" };

type Given = {
  readonly request: PlacementRequest;
  readonly context: PlacementContext;
};

const STALE_SLOWDOWN: Readonly<Record<StaleEstimate, number>> = {
  hopeful: 1.1,
  // A quarter to a third of the servers at four times the usual.
  mean: 1.8,
};
/** Servers work more slowly above this share of their slots. */
const KNEE_OCCUPANCY = 0.8;
const KNEE_SLOWDOWN = 1.7;
/** Requests that may wait at a server, as a part of its slots. */
const WAITING_PART = 0.25;
/** Sizes differ and slow phases end, so a little over is in time often enough. */
const IN_TIME_FACTOR = 1.2;
/** Slowdown in the first seconds of a server's life. */
const COLD_SLOWDOWN = 2;
/** Requests beside a new one have half of their work left. */
const LEFT_BESIDE = 0.5;
/** A failed attempt costs about the whole objective. */
const FAILURE_COST_OBJECTIVES = 2;
/** Scores of servers that say that they are ill are multiplied by this. */
const BAD_HEALTH_FACTOR = 3;
/** Scores this close are taken as equal, so that entries spread. */
const TIE_PART = 0.05;
const BYTES_IN_MEGABYTE = 1_000_000;

/**
 * Requests that a server is given at the most. A few wait there for the slot
 * that ends next, so that none stands idle until an entry learns of its end.
 */
export function concurrencyLimit(slots: number): number {
  return slots + Math.ceil(slots * WAITING_PART);
}

/**
 * Time within which a first attempt should be expected to end, where
 * `objectiveLeftMilliseconds` is left of the objective.
 */
export function firstAttemptLimitMilliseconds(
  objectiveLeftMilliseconds: number,
): number {
  return IN_TIME_FACTOR * objectiveLeftMilliseconds;
}

/** Time that work takes beside `load` other requests, 1 is alone. */
export function contentionSlowdown(load: number, slots: number): number {
  return isBeyondKnee(load + 1, slots) ? KNEE_SLOWDOWN : 1;
}

/** Expected time to a whole answer from a server. */
export function expectedCompletionMilliseconds(
  server: ServerLoad,
  workMilliseconds: number,
  view: { now: number; staleEstimate: StaleEstimate },
): number {
  const { now, staleEstimate: staleView } = view;
  const load = server.load(now);
  let pace = server.slowdown(now, STALE_SLOWDOWN[staleView]) *
    contentionSlowdown(load, server.slots);
  if (server.isCold(now)) pace *= COLD_SLOWDOWN;
  const ahead = Math.max(0, load + 1 - server.slots);
  return workMilliseconds * pace * (1 + ahead / server.slots);
}

function isBeyondKnee(load: number, slots: number): boolean {
  return load > KNEE_OCCUPANCY * slots;
}

/** Time that a request adds to those beside it by crossing the knee. */
function harmBeside(server: ServerLoad, work: number, now: number): number {
  const load = server.load(now);
  const crosses = isBeyondKnee(load + 1, server.slots) &&
    !isBeyondKnee(load, server.slots);
  return crosses ? load * work * (KNEE_SLOWDOWN - 1) * LEFT_BESIDE : 0;
}

/** What the bytes of an answer from a server cost, in objectives. */
function crossingObjectives(
  server: ServerLoad,
  { request, context }: Given,
): number {
  const { failureDomain } = server.registration;
  if (failureDomain === context.ownFailureDomain) return 0;
  const megabytes = request.answerBytes / BYTES_IN_MEGABYTE;
  return megabytes * context.crossDomainCost.objectivesPerMegabyte;
}

/** Time and costs of a server for a request, in milliseconds. */
function score(
  server: ServerLoad,
  expected: number,
  given: Given,
): number {
  const { request, context } = given;
  const { objectiveMilliseconds: objective } = request;
  let total = expected +
    harmBeside(server, request.serviceTimeMilliseconds, context.now);
  const crossing = crossingObjectives(server, given);
  if (crossing > 0) {
    total += context.crossDomainCost.roundTripMilliseconds +
      crossing * objective;
  }
  total += server.failureRate(context.now) * FAILURE_COST_OBJECTIVES *
    objective;
  if (server.isReportedUnhealthy) total *= BAD_HEALTH_FACTOR;
  return total;
}

/**
 * Places a request on one of `servers`. Blocked servers are used only when
 * there is no other.
 */
export function place(
  servers: readonly ServerLoad[],
  request: PlacementRequest,
  context: PlacementContext,
): PlacementResult {
  const { now, staleEstimate: staleView } = context;
  const given = { request, context };
  const untried = servers.filter(({ registration }) =>
    !request.tried.has(registration.id)
  );
  const open = untried.filter((server) => !server.isBlocked(now));
  const candidates = open.length > 0 ? open : untried;
  if (candidates.length === 0) return { kind: "none" };
  let best: ServerLoad | undefined;
  let bestExpected = Infinity;
  let bestScore = Infinity;
  let hasLateRoom = false;
  for (const server of candidates) {
    if (server.load(now) >= concurrencyLimit(server.slots)) continue;
    const crossing = crossingObjectives(server, given);
    if (crossing > request.maximumCrossDomainCostObjectives) continue;
    const expected = expectedCompletionMilliseconds(
      server,
      request.serviceTimeMilliseconds,
      {
        now,
        staleEstimate: staleView,
      },
    );
    if (expected > request.maximumExpectedMilliseconds) {
      hasLateRoom = true;
      continue;
    }
    const jitter = 1 + context.random() * TIE_PART;
    const total = score(server, expected, given) * jitter;
    if (total >= bestScore) continue;
    bestScore = total;
    bestExpected = expected;
    best = server;
  }
  if (best === undefined) return { kind: hasLateRoom ? "late" : "full" };
  return {
    kind: "placed",
    placement: {
      server: best,
      expectedMilliseconds: bestExpected,
      candidateCount: candidates.length,
    },
  };
}
