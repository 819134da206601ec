/**
 * Token bucket that limits extra requests to a share of the calls: each call
 * adds a fraction of a token, and each retry or hedge spends one token.
 * Retries therefore never amplify an outage by more than that share.
 */
export type TokenBudgetOptions = {
  /** Tokens added by each call, between 0 and 1. */
  readonly share: number;
  /** Size of the bucket; bounds the burst of retries after a quiet period. */
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

  /** Adds the tokens of one call. */
  earn(): void {
    const { share, maximumTokens } = this.#options;
    this.#tokens = Math.min(maximumTokens, this.#tokens + share);
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
