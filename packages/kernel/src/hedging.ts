/**
 * Decides when a repeatable request that takes too long is sent to a second
 * backend server as well.
 *
 * It answers a load in which a server turns several times slower while it
 * works on a request: the request was placed well and is late all the same. A
 * second send pays only where it is expected to end before the first one and
 * within the objective.
 */
export type HedgeView = {
  readonly elapsedMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Expected time of the first attempt when it was placed. */
  readonly expectedMilliseconds: number;
  /** Expected time of the best other server, from now. */
  readonly otherExpectedMilliseconds: number;
  readonly hasOtherFreeSlot: boolean;
};

export type HedgeDecision = "send" | "wait" | "never";

/** A first attempt is taken as delayed beyond this multiple. */
const DELAY_FACTOR = 1.3;
/** Servers that stay silent for this many objectives are given up. */
const SILENT_OBJECTIVES = 2;

/** Time after the start at which a hedge is first considered. */
export function firstHedgeMilliseconds(expectedMilliseconds: number): number {
  return expectedMilliseconds * DELAY_FACTOR;
}

export function decideHedge(view: HedgeView): HedgeDecision {
  const { elapsedMilliseconds: elapsed, objectiveMilliseconds: objective } =
    view;
  if (elapsed > objective) {
    const isSilent = elapsed > objective * SILENT_OBJECTIVES;
    return isSilent && view.hasOtherFreeSlot ? "send" : "wait";
  }
  if (elapsed < firstHedgeMilliseconds(view.expectedMilliseconds)) {
    return "wait";
  }
  const isInTime = elapsed + view.otherExpectedMilliseconds <= objective;
  return isInTime && view.hasOtherFreeSlot ? "send" : "wait";
}
