/**
 * Checks a slow request at intervals, from the first moment at which a hedge
 * may pay off, and decides when to send it.
 */
import {
  decideHedge,
  type FirstServerSlowdown,
  type HedgeDecision,
  hedgeDelayMilliseconds,
} from "@marigoldford/kernel/hedging";

/** Interval at which a slow request is checked. */
const CHECK_INTERVAL_MILLISECONDS = 15;
/** A request that can no longer meet its objective is checked less often. */
const LATE_CHECK_INTERVAL_MILLISECONDS = 100;

export type HedgeTimerOptions = {
  readonly objectiveMilliseconds: number;
  readonly serviceTimeMilliseconds: () => number;
  readonly elapsedMilliseconds: () => number;
  /**
   * Whether exactly one attempt runs and another may be started alongside it.
   */
  readonly mayHedge: () => boolean;
  /** Probes the first server; undefined if it does not answer. */
  readonly probeFirstServer: () => Promise<FirstServerSlowdown | undefined>;
  /** Sends the hedge; false if it cannot be sent now. */
  readonly sendHedge: () => boolean;
};

export class HedgeTimer {
  readonly #options: HedgeTimerOptions;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: HedgeTimerOptions) {
    this.#options = options;
  }

  start(): void {
    const {
      objectiveMilliseconds,
      serviceTimeMilliseconds,
      elapsedMilliseconds,
    } = this.#options;
    const delayMilliseconds = hedgeDelayMilliseconds(
      objectiveMilliseconds,
      serviceTimeMilliseconds(),
    );
    this.#schedule(Math.max(0, delayMilliseconds - elapsedMilliseconds()));
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #schedule(milliseconds: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#check(), milliseconds);
  }

  async #check(): Promise<void> {
    const { mayHedge, probeFirstServer, sendHedge } = this.#options;
    if (!mayHedge()) return;
    const firstServer = await probeFirstServer();
    if (!mayHedge()) return;
    const decision = this.#decide(firstServer);
    if (decision === "send" && sendHedge()) return;
    this.#schedule(
      decision === "late"
        ? LATE_CHECK_INTERVAL_MILLISECONDS
        : CHECK_INTERVAL_MILLISECONDS,
    );
  }

  #decide(firstServer: FirstServerSlowdown | undefined): HedgeDecision {
    const {
      objectiveMilliseconds,
      serviceTimeMilliseconds,
      elapsedMilliseconds,
    } = this.#options;
    return decideHedge({
      elapsedMilliseconds: elapsedMilliseconds(),
      objectiveMilliseconds,
      serviceTimeMilliseconds: serviceTimeMilliseconds(),
      firstServer,
    });
  }
}
