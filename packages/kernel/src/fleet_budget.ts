/**
 * A retry budget that many entries share without talking.
 *
 * The fleet may send `share` retries for each request plus a fixed allowance
 * in any window. Each entry earns the share from its own requests and an
 * equal part of the allowance. While the number of entries is unsure, the
 * larger figure counts: an entry that errs then retries too little.
 */
import type { Clock } from "./types.ts";

export type FleetRetryBudgetOptions = {
  readonly clock: Clock;
  /** Retries for each request, over the whole fleet. */
  readonly share: number;
  /** Retries in a window beside the share, over the whole fleet. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
  /** Entries that share the allowance, never too few. */
  readonly memberCount: () => number;
};

/** Part of the bound that is used; the rest covers skewed windows. */
const USED_PART = 0.8;

export class FleetRetryBudget {
  readonly #options: FleetRetryBudgetOptions;
  #tokens = 0;
  #updatedAtMilliseconds: number;

  constructor(options: FleetRetryBudgetOptions) {
    this.#options = options;
    this.#updatedAtMilliseconds = options.clock();
    this.#tokens = this.#windowAllowance() / 2;
  }

  recordRequest(): void {
    this.#refill();
    this.#add(this.#options.share * USED_PART);
  }

  get tokens(): number {
    this.#refill();
    return this.#tokens;
  }

  trySpend(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Half of the allowance flows in over a window, half may be saved up. */
  #refill(): void {
    const now = this.#options.clock();
    const passed = now - this.#updatedAtMilliseconds;
    this.#updatedAtMilliseconds = now;
    const part = passed / this.#options.windowMilliseconds;
    this.#add(part * this.#windowAllowance() / 2);
  }

  #add(tokens: number): void {
    const most = Math.max(1, this.#windowAllowance() / 2);
    this.#tokens = Math.min(most, this.#tokens + tokens);
  }

  #windowAllowance(): number {
    const { allowance, memberCount: members } = this.#options;
    return USED_PART * allowance / Math.max(1, members());
  }
}
