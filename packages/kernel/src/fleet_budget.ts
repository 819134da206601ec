/**
 * Retry budget that entries share without coordination.
 *
 * In any window the fleet may send `share` retries per request plus a fixed
 * allowance. Each entry earns the share from its own requests and an equal part
 * of the allowance. While the number of entries is uncertain, the larger number
 * is used, so that an error leads to too few retries rather than too many.
 */
import type { Clock } from "./types.ts";

export type FleetRetryBudgetOptions = {
  readonly clock: Clock;
  /** Retries per request, for the whole fleet. */
  readonly share: number;
  /** Additional retries per window, for the whole fleet. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
  /** Number of entries that share the allowance; must not be underestimated. */
  readonly memberCount: () => number;
};

/** Share of the bound that is used; the rest covers skewed windows. */
const USED_SHARE = 0.8;

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
    this.#addTokens(this.#options.share * USED_SHARE);
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

  /** Half of the allowance is earned over a window, half can be saved up. */
  #refill(): void {
    const now = this.#options.clock();
    const elapsed = now - this.#updatedAtMilliseconds;
    this.#updatedAtMilliseconds = now;
    const fraction = elapsed / this.#options.windowMilliseconds;
    this.#addTokens(fraction * this.#windowAllowance() / 2);
  }

  #addTokens(tokens: number): void {
    const capacity = Math.max(1, this.#windowAllowance() / 2);
    this.#tokens = Math.min(capacity, this.#tokens + tokens);
  }

  #windowAllowance(): number {
    const { allowance, memberCount } = this.#options;
    return USED_SHARE * allowance / Math.max(1, memberCount());
  }
}
