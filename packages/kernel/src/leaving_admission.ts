/**
 * Decides whether an entry that is leaving still accepts a request.
 *
 * A request that is accepted must end before the entry exits. Callers that are
 * refused retry at another entry at once, while a request that is cut off may
 * have run and may not be repeated.
 */
export type LeavingAdmissionInputs = {
  /** Time since the entry was asked to leave. */
  readonly leavingMilliseconds: number;
  /** Time until the entry exits at the latest. */
  readonly untilExitMilliseconds: number;
  /** Time within which the request ends in any case. */
  readonly timeLimitMilliseconds: number;
  readonly objectiveMilliseconds: number;
};

/** Until then callers may not know that the entry is leaving. */
const ANNOUNCED_MILLISECONDS = 3_000;
/** Slow requests take this many objectives, when no server hangs. */
const SLOW_REQUEST_OBJECTIVES = 3;
/** Time to deliver an answer that is told at the end of the time limit. */
const DELIVERY_MILLISECONDS = 100;

export function isAcceptedWhileLeaving(
  inputs: LeavingAdmissionInputs,
): boolean {
  const untilExit = inputs.untilExitMilliseconds - DELIVERY_MILLISECONDS;
  if (inputs.timeLimitMilliseconds <= untilExit) return true;
  if (inputs.leavingMilliseconds > ANNOUNCED_MILLISECONDS) return false;
  return SLOW_REQUEST_OBJECTIVES * inputs.objectiveMilliseconds <= untilExit;
}
