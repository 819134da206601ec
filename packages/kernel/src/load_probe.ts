/**
 * Decides whether a chosen backend server is asked for its load right before
 * a request is sent to it.
 *
 * It answers a load that shifts within a few hundred milliseconds: what is
 * known of a server from the last tens of milliseconds may be wrong by the
 * time of the choice, and a wrong choice costs a whole latency objective. A
 * question inside the failure domain costs a millisecond.
 */
export type LoadProbeInputs = {
  /** Age of the last report; infinite if the server never reported. */
  readonly reportAgeMilliseconds: number;
  /** Questions that were asked for this request before. */
  readonly probesSent: number;
  readonly remainingMilliseconds: number;
};

/** A report this young is not worth a question. */
const FRESH_MILLISECONDS = 12;
/** One server is asked first, then two at once, then three. */
const MOST_QUESTIONS = 6;
/** Without time to spare the request is sent at once. */
const LEAST_TIME_MILLISECONDS = 30;

export function needsLoadProbe(view: LoadProbeInputs): boolean {
  if (!Number.isFinite(view.reportAgeMilliseconds)) return false;
  if (view.reportAgeMilliseconds <= FRESH_MILLISECONDS) return false;
  if (view.remainingMilliseconds < LEAST_TIME_MILLISECONDS) return false;
  return view.probesSent < MOST_QUESTIONS;
}
