/**
 * Decides whether the selected backend server is probed for its load right
 * before a request is sent to it.
 *
 * Load shifts within a few hundred milliseconds, so a report that is tens of
 * milliseconds old may already be wrong, and a wrong choice costs a whole
 * latency objective. A probe within the failure domain costs a millisecond.
 */
export type LoadProbeInputs = {
  /** Age of the last report; infinite if the server never reported. */
  readonly reportAgeMilliseconds: number;
  /** Whether a probe is expected to bring a report. */
  readonly mayReport: boolean;
  /** Probes that were already sent for this request. */
  readonly probesSent: number;
  readonly remainingMilliseconds: number;
};

/** Up to this age a report makes a probe unnecessary. */
export const FRESH_REPORT_MILLISECONDS = 12;
/** Three rounds: one server is probed first, then two at once, then three. */
const MAXIMUM_PROBES = 6;
/** With less time left, the request is sent without a probe. */
const MINIMUM_TIME_MILLISECONDS = 30;

export function needsLoadProbe(inputs: LoadProbeInputs): boolean {
  if (!inputs.mayReport) return false;
  if (inputs.reportAgeMilliseconds <= FRESH_REPORT_MILLISECONDS) return false;
  if (inputs.remainingMilliseconds < MINIMUM_TIME_MILLISECONDS) return false;
  return inputs.probesSent < MAXIMUM_PROBES;
}
