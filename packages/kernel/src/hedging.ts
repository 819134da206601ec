/**
 * Decides when a slow idempotent request is hedged, that is, sent to a second
 * backend server while the first attempt is still running.
 *
 * A server may start a request several times slower than usual, which is then
 * late. The decision is made at the last moment at which a second server can
 * still answer within the latency objective, when most requests have already
 * been answered. The first server is then probed: it may be dead, and its
 * current speed tells something about the speed at the start.
 */
export type HedgeInputs = {
  readonly elapsedMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Mean service time of the route on an idle server of usual speed. */
  readonly serviceTimeMilliseconds: number;
  /** Undefined if the probe of the first server failed. */
  readonly firstServer: FirstServerSlowdown | undefined;
};

export type FirstServerSlowdown = {
  /** As reported right before it started the request, if it did so at once. */
  readonly atStart: number | undefined;
  readonly current: number;
};

/**
 * - `send`: a hedge is worth its cost.
 * - `wait`: the first server is expected to answer soon.
 * - `late`: no server can still answer within the objective, and the first one
 *   may just be slow.
 */
export type HedgeDecision = "send" | "wait" | "late";

/** Margin for requests that take longer than the mean of their route. */
const SERVICE_TIME_MARGIN = 1.25;
/** Round trip to the second server and the probe before it. */
const ROUND_TRIP_AND_PROBE_MILLISECONDS = 10;
/** From this slowdown on, the first server is not expected to be in time. */
const SLOW_SERVER_SLOWDOWN = 1.8;
/**
 * Multiple of the service time after which a request at a server of usual speed
 * is considered stuck.
 */
const STUCK_FACTOR = 2.2;
/** Slow phases of shared machines last about this long in production. */
const SLOW_PHASE_MILLISECONDS = 300;
/** Requests without an answer for this many objectives are always hedged. */
const MAXIMUM_UNHEDGED_OBJECTIVES = 2;

/** Time from the start of a request to its first hedging decision. */
export function hedgeDelayMilliseconds(
  objectiveMilliseconds: number,
  serviceTimeMilliseconds: number,
): number {
  const latest = objectiveMilliseconds -
    SERVICE_TIME_MARGIN * serviceTimeMilliseconds -
    ROUND_TRIP_AND_PROBE_MILLISECONDS;
  return Math.max(serviceTimeMilliseconds, latest);
}

export function decideHedge(inputs: HedgeInputs): HedgeDecision {
  const { elapsedMilliseconds: elapsed, objectiveMilliseconds: objective } =
    inputs;
  if (elapsed > objective * MAXIMUM_UNHEDGED_OBJECTIVES) return "send";
  if (elapsed + inputs.serviceTimeMilliseconds > objective) {
    return isStuck(inputs) ? "send" : "late";
  }
  if (inputs.firstServer === undefined) return "send";
  const slowdown = likelySlowdownAtStart(inputs.firstServer, elapsed);
  if (slowdown >= SLOW_SERVER_SLOWDOWN) return "send";
  return elapsed > STUCK_FACTOR * inputs.serviceTimeMilliseconds
    ? "send"
    : "wait";
}

/**
 * Whether a late request takes far longer than its route usually does, at the
 * speed that its server had at the start.
 */
function isStuck(inputs: HedgeInputs): boolean {
  const { firstServer, elapsedMilliseconds } = inputs;
  // Without an answer to the probe, the request may also just be slow.
  if (firstServer === undefined) return false;
  const slowdown = firstServer.atStart ?? firstServer.current;
  return elapsedMilliseconds >
    STUCK_FACTOR * inputs.serviceTimeMilliseconds * Math.max(1, slowdown);
}

/**
 * A server that is slow now was probably slow at the start, if that was in the
 * same phase: the report before the start may have come too early.
 */
function likelySlowdownAtStart(
  { atStart, current }: FirstServerSlowdown,
  elapsedMilliseconds: number,
): number {
  if (atStart === undefined) return current;
  return elapsedMilliseconds <= SLOW_PHASE_MILLISECONDS
    ? Math.max(atStart, current)
    : atStart;
}
