/**
 * Settings of a simulated backend server, and its ledger of received calls.
 */

/** Behaviour of one backend server; `POST /control` sets any of its fields. */
export type BackendBehaviour = {
  slots: number;
  /** Calls that may queue beside those that run; further calls are refused. */
  queueLength: number;
  serviceMilliseconds: number;
  /** `fixed` or exponentially distributed service times. */
  distribution: "fixed" | "exponential";
  /** Factor on every service time; 10 makes a straggler. */
  slowdown: number;
  /** Share of calls answered at once with status 500. */
  failShare: number;
  /** Three digits that calls are answered with at once; none if empty. */
  rawStatus: string;
  isLeaving: boolean;
  /** Reports `leaving` at the health endpoint only; calls still run. */
  isLeavingQuietly: boolean;
  /** Whether the health endpoint reports `live` although `isLeaving` is set. */
  isHealthMisleading: boolean;
  /** Whether answers omit the load. */
  isSilentAboutLoad: boolean;
  /** Age of the reported load; with 0 it is the current load. */
  reportLagMilliseconds: number;
  /** Whether reports give 0 whatever the load. */
  isReportMisleading: boolean;
  /** A call whose path contains this text closes every connection. */
  crashOn: string;
  /** Accepts connections but answers neither calls nor health polls. */
  isSilent: boolean;
  /** Runs calls and closes the connection instead of answering. */
  losesAnswers: boolean;
  /** Sends the head and half of the body, then closes the connection. */
  cutsAnswers: boolean;
  /** Closes the connection in the middle of the head of each answer. */
  cutsHeads: boolean;
  /** Sends a refusal once more when the next call on its connection runs. */
  repeatsRefusals: boolean;
  /** For this long after the start, service times grow by `coldFactor`. */
  coldMilliseconds: number;
  coldFactor: number;
  /**
   * Noisy neighbours: each period is noisy with probability `noiseShare`, and
   * calls that start in a noisy period take `noiseFactor` times as long.
   */
  noisePeriodMilliseconds: number;
  noiseShare: number;
  noiseFactor: number;
};

export const DEFAULT_BEHAVIOUR: BackendBehaviour = {
  slots: 2,
  queueLength: 100,
  serviceMilliseconds: 10,
  distribution: "fixed",
  slowdown: 1,
  failShare: 0,
  rawStatus: "",
  isLeaving: false,
  isLeavingQuietly: false,
  isHealthMisleading: false,
  isSilentAboutLoad: false,
  reportLagMilliseconds: 0,
  isReportMisleading: false,
  crashOn: "",
  isSilent: false,
  losesAnswers: false,
  cutsAnswers: false,
  cutsHeads: false,
  repeatsRefusals: false,
  coldMilliseconds: 0,
  coldFactor: 1,
  noisePeriodMilliseconds: 0,
  noiseShare: 0,
  noiseFactor: 1,
};

/**
 * How often one call ran. Calls with an idempotency key are counted by key,
 * others by method and path.
 */
export type LedgerRow = {
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly count: number;
};

export type Ledger = {
  readonly address: string;
  readonly runs: readonly LedgerRow[];
  readonly arrivals: number;
  readonly refusals: number;
  readonly cancelled: number;
  readonly crashes: number;
  readonly healthPolls: number;
  readonly lastArrivalMilliseconds: number;
  readonly openConnections: number;
};
