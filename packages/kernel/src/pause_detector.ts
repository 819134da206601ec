/**
 * Detects that the process was paused: the monotonic clock advanced while the
 * event loop did not run.
 */
import type { Clock } from "./types.ts";

export class PauseDetector {
  readonly #clock: Clock;
  readonly #thresholdMilliseconds: number;
  #lastTickAtMilliseconds: number;
  #pauses = 0;

  constructor(clock: Clock, thresholdMilliseconds: number) {
    this.#clock = clock;
    this.#thresholdMilliseconds = thresholdMilliseconds;
    this.#lastTickAtMilliseconds = clock();
  }

  get pauses(): number {
    return this.#pauses;
  }

  /**
   * Records a tick of a periodic timer; returns whether a pause preceded it.
   */
  recordTick(): boolean {
    const now = this.#clock();
    const gap = now - this.#lastTickAtMilliseconds;
    this.#lastTickAtMilliseconds = now;
    if (gap < this.#thresholdMilliseconds) return false;
    this.#pauses += 1;
    return true;
  }
}
