/**
 * Notices that the process was paused: time passed on the monotonic clock in
 * which the loop did not turn.
 */
import type { Clock } from "./types.ts";

export class PauseDetector {
  readonly #clock: Clock;
  readonly #thresholdMilliseconds: number;
  #lastTurnMilliseconds: number;
  #pauses = 0;

  constructor(clock: Clock, thresholdMilliseconds: number) {
    this.#clock = clock;
    this.#thresholdMilliseconds = thresholdMilliseconds;
    this.#lastTurnMilliseconds = clock();
  }

  get pauses(): number {
    return this.#pauses;
  }

  /** Notes a turn of the loop; returns whether a pause lies before it. */
  recordTick(): boolean {
    const now = this.#clock();
    const gap = now - this.#lastTurnMilliseconds;
    this.#lastTurnMilliseconds = now;
    if (gap < this.#thresholdMilliseconds) return false;
    this.#pauses += 1;
    return true;
  }
}
