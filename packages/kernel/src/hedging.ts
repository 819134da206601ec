/**
 * Decides when a repeatable request that takes too long is sent to a second
 * backend server as well.
 *
 * It answers a load in which a server turns several times slower while it
 * works on a request: the request was placed well and is late all the same.
 * The question is asked at the last moment at which a second server can still
 * answer within the objective, when most requests have been answered already.
 * The first server is then asked how slow it is.
 */
export type HedgeInputs = {
  readonly elapsedMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Time that an idle server of usual speed needs. */
  readonly serviceTimeMilliseconds: number;
  /** Slowdown of the first server now; undefined if it does not answer. */
  readonly firstServerSlowdown: number | undefined;
};

/**
 * - `send`: a second send is worth its cost.
 * - `wait`: the first server is expected to answer soon.
 * - `late`: no server can answer within the objective any more.
 */
export type HedgeDecision = "send" | "wait" | "late";

/** Requests of a route differ in size; a second send allows for that. */
const WORK_MARGIN = 1.25;
/** Way there and back, and the question to the second server. */
const WAY_MILLISECONDS = 10;
/** A first server at this slowdown is not expected to make it. */
const SLOW = 1.8;
/** A request at a usual server is taken as stuck beyond this. */
const STUCK_FACTOR = 2.2;
/** Servers that stay silent for this many objectives are given up. */
const SILENT_OBJECTIVES = 2;

/** Time after the start of a request at which a hedge is considered. */
export function hedgeDelayMilliseconds(
  objectiveMilliseconds: number,
  workMilliseconds: number,
): number {
  const latest = objectiveMilliseconds - WORK_MARGIN * workMilliseconds -
    WAY_MILLISECONDS;
  return Math.max(workMilliseconds, latest);
}

export function decideHedge(view: HedgeInputs): HedgeDecision {
  const { elapsedMilliseconds: elapsed, objectiveMilliseconds: objective } =
    view;
  if (elapsed > objective * SILENT_OBJECTIVES) return "send";
  if (elapsed + view.serviceTimeMilliseconds > objective) return "late";
  if (view.firstServerSlowdown === undefined) return "send";
  if (view.firstServerSlowdown >= SLOW) return "send";
  return elapsed > STUCK_FACTOR * view.serviceTimeMilliseconds
    ? "send"
    : "wait";
}
