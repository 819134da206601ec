/**
 * Selects the backend server with the lowest expected cost for a request.
 *
 * Designed for servers on shared machines: at any time about a third of them
 * run several times slower for a few hundred milliseconds, and all slow down
 * when they are nearly full. The expected time is the service time of the
 * route, scaled by the slowdown of the server and by the requests queued there.
 * A request is also charged for slowing down others, for leaving its failure
 * domain and for opening connections: a large fleet that spread its requests
 * over all servers would open nearly as many connections as it has requests.
 */
import type { ServerLoad } from "./server_load.ts";
import type { FailureDomain, RandomSource } from "./types.ts";

/** The request to place. */
export type PlacementRequest = {
  /** Mean service time of the route on an idle server of usual speed. */
  readonly serviceTimeMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Mean size of the answers of the route. */
  readonly answerBytes: number;
  readonly tried: ReadonlySet<string>;
  /**
   * Servers in other failure domains are skipped if sending the answer back
   * from there costs more than this many latency objectives.
   */
  readonly maximumCrossDomainCostObjectives: number;
  /** Servers with a longer expected completion time are skipped. */
  readonly maximumExpectedMilliseconds: number;
  /** `usual` if it is left out. */
  readonly slotUse?: SlotUse;
};

/**
 * Which slots of a server a request may use, beside the concurrency limit.
 *
 * - `usual`: up to the concurrency limit.
 * - `spare`: leaves the last of these free, but uses an idle server.
 */
export type SlotUse = "usual" | "spare";

/**
 * Slowdown assumed for servers without a recent load report: `optimistic` to
 * select the servers to probe, `mean` to send a request without a probe.
 */
export type StaleEstimate = "optimistic" | "mean";

export type PlacementContext = {
  readonly now: number;
  readonly random: RandomSource;
  readonly ownFailureDomain: FailureDomain;
  readonly crossDomainCost: CrossDomainCost;
  readonly connectionCost: ConnectionCost;
  readonly staleEstimate: StaleEstimate;
  /**
   * Load assumed for servers without a recent report, as a share of their slots.
   */
  readonly assumedOccupancy: (failureDomain: FailureDomain) => number;
  /**
   * Requests a second that a cold server takes from all entries together;
   * missing or 0 if any number.
   */
  readonly warmUpRequestsPerSecond?: number;
  /** Maximum number of requests at a server at the same time. */
  readonly concurrencyLimit: ConcurrencyLimit;
};

export type ConcurrencyLimit = (
  slots: number,
  serviceTimeMilliseconds: number,
) => number;

/** Cost of opening connections, which servers and entries pay for. */
export type ConnectionCost = {
  /** Mean number of connections that a use of a server opens. */
  readonly connectionsToOpen: (server: ServerLoad) => number;
  readonly objectivesPerConnection: number;
};

/** Cost of sending a request to another failure domain. */
export type CrossDomainCost = {
  readonly roundTripMilliseconds: number;
  /** Cost of sending a megabyte to another failure domain. */
  readonly objectivesPerMegabyte: number;
};

export type Placement = {
  readonly server: ServerLoad;
  /** Expected time to the complete answer, without costs and penalties. */
  readonly expectedMilliseconds: number;
  readonly candidateCount: number;
};

/**
 * - `full`: each candidate is at its concurrency limit or costs too much to
 *   reach.
 * - `held-back`: what the servers have said of themselves, or that they warm up,
 *   forbids to send any of them a request for some milliseconds, which may be
 *   infinitely many.
 * - `late`: a server has capacity, but none is expected to answer in time.
 * - `unknown`: no server is known to have capacity, and so many are busy that
 *   those without a recent report are probably full as well.
 * - `none`: every server was tried already, or there is none.
 */
export type PlacementResult =
  | { readonly kind: "placed"; readonly placement: Placement }
  | { readonly kind: "full" }
  | { readonly kind: "held-back"; readonly milliseconds: number }
  | { readonly kind: "late" }
  | { readonly kind: "unknown" }
  | { readonly kind: "none" };

type ScoringInputs = {
  readonly request: PlacementRequest;
  readonly context: PlacementContext;
};

const STALE_SLOWDOWN: Readonly<Record<StaleEstimate, number>> = {
  optimistic: 1.1,
  // The mean when a quarter to a third of the servers are four times slower.
  mean: 1.8,
};
/** Servers slow down above this share of occupied slots. */
const KNEE_OCCUPANCY = 0.8;
const KNEE_SLOWDOWN = 1.7;
/**
 * Servers without a recent report are used while the servers of their failure
 * domain have less than this share of their slots occupied.
 */
const MAXIMUM_ASSUMED_OCCUPANCY = 0.35;
/** A quarter of the mean duration of a phase. */
const MAXIMUM_SERVER_WAIT_MILLISECONDS = 75;
/** Slowdown in the first seconds after a server starts. */
const COLD_SLOWDOWN = 2;
/** Running requests have on average half of their work left. */
const REMAINING_WORK_SHARE = 0.5;
/** A failed attempt uses up about the whole objective. */
const FAILURE_COST_OBJECTIVES = 2;
/** Factor on the scores of servers that fail their health checks. */
const UNHEALTHY_SCORE_FACTOR = 3;
/**
 * Random part of a score, so that entries spread their requests over servers
 * with nearly equal scores.
 */
export const SCORE_JITTER = 0.05;
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Maximum number of requests at a server at the same time: the number at
 * which it ends most requests per second. Beyond the knee each takes so much
 * longer that fewer end, and a request that queues there may start in a slow
 * phase.
 */
export function limitOfHighestThroughput(slots: number): number {
  // Up to the knee, and again beyond it, more requests mean more throughput.
  const atKnee = Math.floor(KNEE_OCCUPANCY * slots);
  return throughput(atKnee, slots) >= throughput(slots, slots) ? atKnee : slots;
}

/**
 * The limit of highest throughput, and where that takes all slots one request
 * that queues, so that no slot is idle until an entry learns that it is free.
 * It queues only if it starts soon, likely in the phase that is known now.
 */
export function limitWithQueue(
  slots: number,
  serviceTimeMilliseconds: number,
): number {
  const limit = limitOfHighestThroughput(slots);
  if (limit < slots) return limit;
  const wait = serviceTimeMilliseconds * contentionSlowdown(slots - 1, slots) /
    slots;
  return wait <= MAXIMUM_SERVER_WAIT_MILLISECONDS ? limit + 1 : limit;
}

/** Requests that end per service time when `running` of them run. */
function throughput(running: number, slots: number): number {
  return running / contentionSlowdown(running - 1, slots);
}

/** Slowdown of a request that runs with `load` others; 1 is none. */
export function contentionSlowdown(load: number, slots: number): number {
  return isBeyondKnee(load + 1, slots) ? KNEE_SLOWDOWN : 1;
}

type ServerView = Pick<
  PlacementContext,
  "now" | "staleEstimate" | "assumedOccupancy"
>;

/**
 * Requests at a server. Without a recent report only the requests of this
 * entry are known, so at least the usual load of the service is assumed, except
 * to select the servers to probe.
 */
export function estimatedLoad(
  server: ServerLoad,
  { now, staleEstimate, assumedOccupancy }: ServerView,
): number {
  const load = server.load(now);
  if (staleEstimate === "optimistic" || server.isReportCounted(now)) {
    return load;
  }
  const { failureDomain } = server.registration;
  return Math.max(load, assumedOccupancy(failureDomain) * server.slots);
}

/** Whether the server may be full without this entry knowing. */
function isProbablyBusy(
  server: ServerLoad,
  { now, staleEstimate, assumedOccupancy }: ServerView,
): boolean {
  if (staleEstimate === "optimistic" || !server.mayReport) return false;
  if (server.isReportCounted(now)) return false;
  const { failureDomain } = server.registration;
  return assumedOccupancy(failureDomain) > MAXIMUM_ASSUMED_OCCUPANCY;
}

/** Expected time to the complete answer from a server. */
export function expectedCompletionMilliseconds(
  server: ServerLoad,
  serviceTimeMilliseconds: number,
  view: ServerView,
): number {
  const { now, staleEstimate } = view;
  const load = estimatedLoad(server, view);
  let slowdown = server.slowdown(now, STALE_SLOWDOWN[staleEstimate]) *
    contentionSlowdown(load, server.slots);
  if (server.isCold(now)) slowdown *= COLD_SLOWDOWN;
  const queued = Math.max(0, load + 1 - server.slots);
  return serviceTimeMilliseconds * slowdown * (1 + queued / server.slots);
}

function isBeyondKnee(load: number, slots: number): boolean {
  return load > KNEE_OCCUPANCY * slots;
}

/** Delay that a request adds to the running ones if it passes the knee. */
function addedDelay(
  server: ServerLoad,
  serviceTime: number,
  view: ServerView,
): number {
  const load = estimatedLoad(server, view);
  const isKneePassed = isBeyondKnee(load + 1, server.slots) &&
    !isBeyondKnee(load, server.slots);
  return isKneePassed
    ? load * serviceTime * (KNEE_SLOWDOWN - 1) * REMAINING_WORK_SHARE
    : 0;
}

/** Cost of an answer from another failure domain, in latency objectives. */
function transferCost(
  server: ServerLoad,
  { request, context }: ScoringInputs,
): number {
  const { failureDomain } = server.registration;
  if (failureDomain === context.ownFailureDomain) return 0;
  const megabytes = request.answerBytes / BYTES_PER_MEGABYTE;
  return megabytes * context.crossDomainCost.objectivesPerMegabyte;
}

/** Expected time plus costs of a request at a server, in milliseconds. */
function score(
  server: ServerLoad,
  expected: number,
  inputs: ScoringInputs,
): number {
  const { request, context } = inputs;
  const { objectiveMilliseconds: objective } = request;
  let total = expected +
    addedDelay(server, request.serviceTimeMilliseconds, context);
  const transferObjectives = transferCost(server, inputs);
  if (transferObjectives > 0) {
    total += context.crossDomainCost.roundTripMilliseconds +
      transferObjectives * objective;
  }
  const { connectionsToOpen, objectivesPerConnection } = context.connectionCost;
  total += connectionsToOpen(server) * objectivesPerConnection * objective;
  total += server.failureRate(context.now) * FAILURE_COST_OBJECTIVES *
    objective;
  if (server.isReportedUnhealthy) total *= UNHEALTHY_SCORE_FACTOR;
  return total;
}

/** Score of a server without the random part; the lowest one is selected. */
export function placementScore(
  server: ServerLoad,
  request: PlacementRequest,
  context: PlacementContext,
): number {
  const expected = expectedCompletionMilliseconds(
    server,
    request.serviceTimeMilliseconds,
    context,
  );
  return score(server, expected, { request, context });
}

/**
 * Selects one of `servers` for a request. Blocked servers are used only if
 * there are no others, leaving ones only if no other has room; servers that may
 * get no request now are not used.
 */
export function place(
  servers: readonly ServerLoad[],
  request: PlacementRequest,
  context: PlacementContext,
): PlacementResult {
  const { now, warmUpRequestsPerSecond } = context;
  const inputs = { request, context };
  let isUntried = false;
  let heldBackMilliseconds = Infinity;
  const unblocked: ServerLoad[] = [];
  const blocked: ServerLoad[] = [];
  for (const server of servers) {
    if (request.tried.has(server.registration.id)) continue;
    isUntried = true;
    const milliseconds = server.millisecondsUntilAllowed(
      now,
      warmUpRequestsPerSecond,
    );
    heldBackMilliseconds = Math.min(heldBackMilliseconds, milliseconds);
    if (milliseconds > 0) continue;
    if (server.isBlocked(now)) blocked.push(server);
    else unblocked.push(server);
  }
  if (!isUntried) return { kind: "none" };
  const candidates = unblocked.length > 0 ? unblocked : blocked;
  if (candidates.length === 0) {
    return { kind: "held-back", milliseconds: heldBackMilliseconds };
  }
  const leaving = candidates.filter(isLeaving);
  if (leaving.length === 0) return selectBest(candidates, inputs);
  const staying = candidates.filter((server) => !isLeaving(server));
  const placedElsewhere = selectBest(staying, inputs);
  if (placedElsewhere.kind === "placed") return placedElsewhere;
  const placed = selectBest(leaving, inputs);
  return placed.kind === "placed" || staying.length === 0
    ? placed
    : placedElsewhere;
}

function isLeaving({ restrictions }: ServerLoad): boolean {
  return restrictions.isLeaving;
}

/** Requests at a server up to which another one may be sent. */
export function usableSlots(limit: number, use: SlotUse): number {
  return use === "spare" ? Math.max(1, limit - 1) : limit;
}

/** Selects the candidate with the lowest score among those with room. */
function selectBest(
  candidates: readonly ServerLoad[],
  inputs: ScoringInputs,
): PlacementResult {
  const { request, context } = inputs;
  const { concurrencyLimit } = context;
  let best: ServerLoad | undefined;
  let bestExpected = Infinity;
  let bestScore = Infinity;
  let hasLateCapacity = false;
  let hasUnknownCapacity = false;
  for (const server of candidates) {
    const limit = usableSlots(
      concurrencyLimit(server.slots, request.serviceTimeMilliseconds),
      request.slotUse ?? "usual",
    );
    if (estimatedLoad(server, context) >= limit) continue;
    if (isProbablyBusy(server, context)) {
      hasUnknownCapacity = true;
      continue;
    }
    const transferObjectives = transferCost(server, inputs);
    if (transferObjectives > request.maximumCrossDomainCostObjectives) continue;
    const expected = expectedCompletionMilliseconds(
      server,
      request.serviceTimeMilliseconds,
      context,
    );
    if (expected > request.maximumExpectedMilliseconds) {
      hasLateCapacity = true;
      continue;
    }
    const jitter = 1 + context.random() * SCORE_JITTER;
    const total = score(server, expected, inputs) * jitter;
    if (total >= bestScore) continue;
    bestScore = total;
    bestExpected = expected;
    best = server;
  }
  if (best === undefined) {
    if (hasUnknownCapacity) return { kind: "unknown" };
    return { kind: hasLateCapacity ? "late" : "full" };
  }
  return {
    kind: "placed",
    placement: {
      server: best,
      expectedMilliseconds: bestExpected,
      candidateCount: candidates.length,
    },
  };
}
