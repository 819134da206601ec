/**
 * How a backend server stand-in behaves, and what its ledger says.
 */

/** How a backend server behaves; `POST /control` sets any part of it. */
export type BackendBehaviour = {
  slots: number;
  /** Calls that wait beside those that run; more are shed. */
  queueLength: number;
  serviceMilliseconds: number;
  /** `fixed` or exponentially distributed service times. */
  distribution: "fixed" | "exponential";
  /** Factor on every service time; a straggler has 10. */
  slowdown: number;
  /** Share of calls answered at once with status 500. */
  failShare: number;
  isLeaving: boolean;
  /** Leaves, but only the health endpoint says so; calls still run. */
  isLeavingQuietly: boolean;
  /** Whether the health endpoint claims to be live regardless. */
  isHealthMisleading: boolean;
  /** Whether answers tell the state and the load. */
  isSilentAboutLoad: boolean;
  /** Milliseconds by which reports lag; 0 tells the truth. */
  reportLagMilliseconds: number;
  /** Whether reports say 0 whatever the load. */
  isReportMisleading: boolean;
  /** Calls on paths with this text break every connection. */
  crashOn: string;
  /** Accepts connections and never answers. */
  isSilent: boolean;
  /** Runs calls and destroys the connection instead of answering. */
  losesAnswers: boolean;
  /** Sends the head and half of the body, then cuts the connection. */
  cutsAnswers: boolean;
  coldMilliseconds: number;
  coldFactor: number;
  /** Noisy neighbours: every period, with this chance, this much slower. */
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
  coldMilliseconds: 0,
  coldFactor: 1,
  noisePeriodMilliseconds: 0,
  noiseShare: 0,
  noiseFactor: 1,
};

/** One run of a call, as the ledger counts it. */
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
