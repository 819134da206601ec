/**
 * Shares the time for work that one caller may cause in any amount between all
 * callers: a token bucket that goes into debt. Who has taken from it waits until
 * what was taken so far has been earned, so that connections take turns.
 */
import type { Clock } from "./types.ts";

export type WorkTurnsOptions = {
  readonly clock: Clock;
  readonly unitsPerSecond: number;
  /** Units that may be taken at once after a quiet period. */
  readonly savedUnits: number;
};

const MILLISECONDS_IN_SECOND = 1_000;

export class WorkTurns {
  readonly #options: WorkTurnsOptions;
  #units: number;
  #updatedAtMilliseconds: number;

  constructor(options: WorkTurnsOptions) {
    this.#options = options;
    this.#units = options.savedUnits;
    this.#updatedAtMilliseconds = options.clock();
  }

  /** Takes units; returns how long to wait before more are taken. */
  take(units: number): number {
    const { clock, unitsPerSecond, savedUnits } = this.#options;
    const perMillisecond = unitsPerSecond / MILLISECONDS_IN_SECOND;
    const now = clock();
    const earned = (now - this.#updatedAtMilliseconds) * perMillisecond;
    this.#updatedAtMilliseconds = now;
    this.#units = Math.min(savedUnits, this.#units + earned) - units;
    return Math.max(0, -this.#units / perMillisecond);
  }
}
