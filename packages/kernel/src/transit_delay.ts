/**
 * Estimates how long messages between two processes were on their way, without
 * a common clock.
 *
 * Each message says when its sender's clock let it go. The difference between
 * arrival and departure is the unknown offset of the two clocks plus the time
 * on the way. The smallest difference of a sender belongs to its fastest
 * message, so what another one takes beyond it was spent waiting: in a socket,
 * on a full link, or behind other work of the receiver.
 */
import type { Clock } from "./types.ts";

export type Departure = {
  /** Identifies the sender's clock; another name has another offset. */
  readonly clock: string;
  readonly atMilliseconds: number;
};

type Differences = {
  /** Smallest differences of this period and the one before. */
  current: number;
  previous: number;
  periodStartedAt: number;
};

/**
 * A sender that was suspended has a clock that lags from then on; its messages
 * count as late for at most two periods.
 */
const PERIOD_MILLISECONDS = 30_000;

export class TransitDelays {
  readonly #clock: Clock;
  readonly #differences = new Map<string, Differences>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records a message that arrives now; returns the milliseconds that it took
   * beyond the fastest one of its sender, 0 for the first.
   */
  record({ clock, atMilliseconds }: Departure): number {
    const now = this.#clock();
    const difference = now - atMilliseconds;
    let known = this.#differences.get(clock);
    if (known === undefined) {
      known = {
        current: difference,
        previous: Infinity,
        periodStartedAt: now,
      };
      this.#differences.set(clock, known);
    }
    const elapsed = now - known.periodStartedAt;
    if (elapsed > PERIOD_MILLISECONDS) {
      const isRecent = elapsed <= 2 * PERIOD_MILLISECONDS;
      known.previous = isRecent ? known.current : Infinity;
      known.current = difference;
      known.periodStartedAt = now;
    }
    known.current = Math.min(known.current, difference);
    return difference - Math.min(known.current, known.previous);
  }

  /** Forgets senders that sent nothing for two periods. */
  expire(): void {
    const now = this.#clock();
    for (const [clock, { periodStartedAt }] of this.#differences) {
      if (now - periodStartedAt > 2 * PERIOD_MILLISECONDS) {
        this.#differences.delete(clock);
      }
    }
  }
}
