/**
 * Wakes a request that takes long, at the moments at which a second send may
 * be worth it.
 */
import {
  decideHedge,
  type HedgeDecision,
  hedgeDelayMilliseconds,
} from "@marigoldford/kernel/hedging";

/** How often a delayed request is considered for a second send. */
const INTERVAL_MILLISECONDS = 15;
/** A late request is looked at more seldom. */
const LATE_INTERVAL_MILLISECONDS = 100;

export type HedgeTimerOptions = {
  readonly objectiveMilliseconds: number;
  readonly workMilliseconds: () => number;
  readonly elapsedMilliseconds: () => number;
  /** Whether one attempt runs and another may be made beside it. */
  readonly mayHedge: () => boolean;
  /** Slowdown of the first server now; undefined if it does not answer. */
  readonly probeSlowdown: () => Promise<number | undefined>;
  /** Makes the second send; false if it cannot be made now. */
  readonly sendHedge: () => boolean;
};

export class HedgeTimer {
  readonly #options: HedgeTimerOptions;
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: HedgeTimerOptions) {
    this.#options = options;
  }

  start(): void {
    const { objectiveMilliseconds, workMilliseconds, elapsedMilliseconds } =
      this.#options;
    const at = hedgeDelayMilliseconds(
      objectiveMilliseconds,
      workMilliseconds(),
    );
    this.#set(Math.max(0, at - elapsedMilliseconds()));
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #set(milliseconds: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#consider(), milliseconds);
  }

  async #consider(): Promise<void> {
    const { mayHedge: isWanted, probeSlowdown: askSlowdown, sendHedge: send } =
      this.#options;
    if (!isWanted()) return;
    const firstSlowdown = await askSlowdown();
    if (!isWanted()) return;
    const decision = this.#decide(firstSlowdown);
    if (decision === "send" && send()) return;
    this.#set(
      decision === "late" ? LATE_INTERVAL_MILLISECONDS : INTERVAL_MILLISECONDS,
    );
  }

  #decide(firstSlowdown: number | undefined): HedgeDecision {
    const { objectiveMilliseconds, workMilliseconds, elapsedMilliseconds } =
      this.#options;
    return decideHedge({
      elapsedMilliseconds: elapsedMilliseconds(),
      objectiveMilliseconds,
      serviceTimeMilliseconds: workMilliseconds(),
      firstServerSlowdown: firstSlowdown,
    });
  }
}
