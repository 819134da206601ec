/**
 * A budget of actions in a second, with a second's worth saved up at most.
 */
import type { Clock } from "./types.ts";

const MILLISECONDS_IN_SECOND = 1_000;

export class RateBudget {
  readonly #clock: Clock;
  readonly #perSecond: () => number;
  #tokens = 0;
  #updatedAtMilliseconds: number;

  /** `perSecond` is read at each use, so that it may follow the fleet. */
  constructor(clock: Clock, perSecond: () => number) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#updatedAtMilliseconds = clock();
  }

  trySpend(): boolean {
    const now = this.#clock();
    const passed = now - this.#updatedAtMilliseconds;
    const rate = this.#perSecond();
    this.#updatedAtMilliseconds = now;
    this.#tokens = Math.min(
      rate,
      this.#tokens + rate * passed / MILLISECONDS_IN_SECOND,
    );
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
