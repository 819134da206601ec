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
  readonly maximumProbes: number;
  readonly remainingMilliseconds: number;
};

/** Up to this age a report makes a probe unnecessary. */
export const FRESH_REPORT_MILLISECONDS = 12;
/** Three rounds: one server is probed first, then two at once, then three. */
const MAXIMUM_PROBES = 6;
/**
 * In a large fleet nothing but probes tells which servers have room, and near
 * the capacity of a service most of them have none.
 */
const MAXIMUM_PROBES_WITHOUT_EXCHANGE = 8;
/** A queued request also waits for slots that other entries pass on. */
const MAXIMUM_PROBES_OF_QUEUED = 3;
/** A report up to this age tells the phase of a server, which lasts longer. */
const MAXIMUM_MEASURED_AGE_MILLISECONDS = 50;
/** With less time left, the request is sent without a probe. */
const MINIMUM_TIME_MILLISECONDS = 30;

export function needsLoadProbe(inputs: LoadProbeInputs): boolean {
  if (!inputs.mayReport) return false;
  if (inputs.reportAgeMilliseconds <= FRESH_REPORT_MILLISECONDS) return false;
  if (inputs.remainingMilliseconds < MINIMUM_TIME_MILLISECONDS) return false;
  return inputs.probesSent < inputs.maximumProbes;
}

/** Maximum number of probes before a request is placed or queued. */
export function maximumProbes(
  { areReportsExchanged, hasWaited }: {
    /** Whether entries tell each other the loads that they read. */
    readonly areReportsExchanged: boolean;
    /** Whether the request was queued before. */
    readonly hasWaited: boolean;
  },
): number {
  if (areReportsExchanged) return MAXIMUM_PROBES;
  return hasWaited ? MAXIMUM_PROBES_OF_QUEUED : MAXIMUM_PROBES_WITHOUT_EXCHANGE;
}

/**
 * Servers to probe at once in a round, from 1. In a large fleet single probes
 * come first: most find room, and each takes processor time.
 */
export function probesInRound(
  round: number,
  areReportsExchanged: boolean,
): number {
  return areReportsExchanged ? round : Math.max(1, round - 1);
}

/**
 * Whether a request is better queued than sent to the selected server: its load
 * is only assumed, although servers answer probes. A third of the servers may
 * be slow, and most of them full.
 */
export function isPlacedBlindly(inputs: {
  readonly reportAgeMilliseconds: number;
  readonly mayReport: boolean;
  /** Probes that were answered for this request. */
  readonly probesAnswered: number;
}): boolean {
  return inputs.mayReport && inputs.probesAnswered > 0 &&
    inputs.reportAgeMilliseconds > MAXIMUM_MEASURED_AGE_MILLISECONDS;
}
