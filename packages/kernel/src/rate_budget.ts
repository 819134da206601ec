/**
 * Token bucket that limits the actions per second. It holds at most the tokens
 * of some seconds, one if nothing else is said.
 */
import type { Clock } from "./types.ts";

const MILLISECONDS_IN_SECOND = 1_000;

export class RateBudget {
  readonly #clock: Clock;
  readonly #perSecond: () => number;
  readonly #savedSeconds: number;
  #tokens = 0;
  #updatedAtMilliseconds: number;

  /**
   * `perSecond` is called at each use, because the rate may change with the
   * size of the fleet.
   */
  constructor(clock: Clock, perSecond: () => number, savedSeconds = 1) {
    this.#clock = clock;
    this.#perSecond = perSecond;
    this.#savedSeconds = savedSeconds;
    this.#updatedAtMilliseconds = clock();
  }

  trySpend(): boolean {
    const now = this.#clock();
    const elapsed = now - this.#updatedAtMilliseconds;
    const rate = this.#perSecond();
    this.#updatedAtMilliseconds = now;
    this.#tokens = Math.min(
      rate * this.#savedSeconds,
      this.#tokens + rate * elapsed / MILLISECONDS_IN_SECOND,
    );
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
