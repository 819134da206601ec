/**
 * A budget that is a share of traffic: each call earns a fraction of a
 * token, each retry, hedge or probe spends a whole one. Retries can then
 * never amplify an outage beyond the share, whatever fails.
 */
export type TokenBudgetOptions = {
  /** Tokens earned by each call, between 0 and 1. */
  readonly share: number;
  /** Tokens kept at most, so that a quiet hour earns no storm. */
  readonly maximumTokens: number;
};

export class TokenBudget {
  readonly #options: TokenBudgetOptions;
  #tokens: number;
  #spent = 0;
  #denied = 0;

  constructor(options: TokenBudgetOptions) {
    this.#options = options;
    this.#tokens = Math.min(1, options.maximumTokens);
  }

  get spent(): number {
    return this.#spent;
  }

  get denied(): number {
    return this.#denied;
  }

  /** Counts one call. */
  earn(): void {
    const { share, maximumTokens: mostTokens } = this.#options;
    this.#tokens = Math.min(mostTokens, this.#tokens + share);
  }

  /** Spends one token if there is one. */
  trySpend(): boolean {
    if (this.#tokens < 1) {
      this.#denied += 1;
      return false;
    }
    this.#tokens -= 1;
    this.#spent += 1;
    return true;
  }
}
