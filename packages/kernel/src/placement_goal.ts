/**
 * Decides what a request asks of the server that is selected for it: by when
 * the server must be expected to answer, and how many of its slots the request
 * may count on.
 *
 * Answers load near the capacity of a service. An answer within the objective
 * is worth far more to a caller than a later one. A request that is late in any
 * case is sent while there is room, but once it had to wait it leaves a slot
 * free on each server for requests that can be in time. As all entries do so,
 * these find room without any message between the entries.
 */
import type { SlotUse } from "./placement.ts";

/** A hedge runs alongside another attempt, a retry follows a failed one. */
export type AttemptReason = "first" | "retry" | "hedge";

export type PlacementGoal = {
  readonly maximumExpectedMilliseconds: number;
  readonly slotUse: SlotUse;
};

export type PlacementGoalInputs = {
  readonly reason: AttemptReason;
  /** Mean service time of the route on an idle server of usual speed. */
  readonly serviceTimeMilliseconds: number;
  /** What is left of the objective since the caller's first try. */
  readonly remainingObjectiveMilliseconds: number;
  /** Time until the caller's deadline or the route's timeout. */
  readonly remainingMilliseconds: number;
  /** Whether the request was queued, as no server had room. */
  readonly hasWaited: boolean;
  /** Whether the request has waited in the queue for as long as it may. */
  readonly hasWaitedMaximum: boolean;
};

/**
 * Requests vary in size and slow phases end, so answers expected slightly after
 * the objective are often in time.
 */
const OBJECTIVE_TOLERANCE = 1.2;

/**
 * Maximum expected completion time of a first attempt when
 * `remainingObjectiveMilliseconds` are left of the latency objective.
 */
export function firstAttemptLimitMilliseconds(
  remainingObjectiveMilliseconds: number,
): number {
  return OBJECTIVE_TOLERANCE * remainingObjectiveMilliseconds;
}

/** Whether a server of usual speed that starts the request now is in time. */
export function canMeetObjective(
  inputs: Pick<
    PlacementGoalInputs,
    "serviceTimeMilliseconds" | "remainingObjectiveMilliseconds"
  >,
): boolean {
  return inputs.serviceTimeMilliseconds <=
    firstAttemptLimitMilliseconds(inputs.remainingObjectiveMilliseconds);
}

export function placementGoal(inputs: PlacementGoalInputs): PlacementGoal {
  const { reason, remainingObjectiveMilliseconds, remainingMilliseconds } =
    inputs;
  if (reason !== "first") {
    return { maximumExpectedMilliseconds: Infinity, slotUse: "usual" };
  }
  const isTimely = canMeetObjective(inputs);
  const mustBeInTime = isTimely && !inputs.hasWaitedMaximum;
  return {
    maximumExpectedMilliseconds: mustBeInTime
      ? firstAttemptLimitMilliseconds(remainingObjectiveMilliseconds)
      : remainingMilliseconds,
    slotUse: isTimely || !inputs.hasWaited ? "usual" : "spare",
  };
}
