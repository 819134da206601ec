/**
 * Decides when a slow idempotent request is hedged, that is, sent to a second
 * backend server while the first attempt is still running.
 *
 * A server may start a request several times slower than usual, which is then
 * late. The decision is made at the last moment at which a second server can
 * still answer within the latency objective, when most requests have already
 * been answered. The first server is then probed: it may be dead, and if the
 * speed at which it started the request is not known, its current one counts.
 */
export type HedgeInputs = {
  readonly elapsedMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Mean service time of the route on an idle server of usual speed. */
  readonly serviceTimeMilliseconds: number;
  /**
   * Slowdown of the first server when it started the request, or its current
   * one if that is not known; undefined if its probe failed.
   */
  readonly firstServerSlowdown: number | undefined;
};

/**
 * - `send`: a hedge is worth its cost.
 * - `wait`: the first server is expected to answer soon.
 * - `late`: no server can still answer within the objective.
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
  if (elapsed + inputs.serviceTimeMilliseconds > objective) return "late";
  if (inputs.firstServerSlowdown === undefined) return "send";
  if (inputs.firstServerSlowdown >= SLOW_SERVER_SLOWDOWN) return "send";
  return elapsed > STUCK_FACTOR * inputs.serviceTimeMilliseconds
    ? "send"
    : "wait";
}
