/**
 * Checks a slow request at intervals, from the first moment at which a hedge
 * may pay off, and decides when to send it.
 */
import {
  decideHedge,
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
  /**
   * Slowdown of the first server when it started the request, or else its
   * current one; undefined if it does not answer.
   */
  readonly probeSlowdown: () => Promise<number | undefined>;
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
    const { mayHedge, probeSlowdown, sendHedge } = this.#options;
    if (!mayHedge()) return;
    const firstServerSlowdown = await probeSlowdown();
    if (!mayHedge()) return;
    const decision = this.#decide(firstServerSlowdown);
    if (decision === "send" && sendHedge()) return;
    this.#schedule(
      decision === "late"
        ? LATE_CHECK_INTERVAL_MILLISECONDS
        : CHECK_INTERVAL_MILLISECONDS,
    );
  }

  #decide(firstServerSlowdown: number | undefined): HedgeDecision {
    const {
      objectiveMilliseconds,
      serviceTimeMilliseconds,
      elapsedMilliseconds,
    } = this.#options;
    return decideHedge({
      elapsedMilliseconds: elapsedMilliseconds(),
      objectiveMilliseconds,
      serviceTimeMilliseconds: serviceTimeMilliseconds(),
      firstServerSlowdown,
    });
  }
}
