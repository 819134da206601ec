/**
 * Bounds the requests that an entry sends to one server while that is cold.
 *
 * A cold server takes a rate from all entries together. As with a request limit
 * that a server states, some entries hold a share of the rate; the others send
 * it nothing until it is warm.
 */
import { TokenBucket } from "./token_bucket.ts";

export class WarmUpLimit {
  readonly #ownShare: (requestsPerSecond: number) => number;
  readonly #spread: number;
  readonly #bucket = new TokenBucket();
  #wasCold = false;

  /**
   * `spread` is uniformly distributed in [0, 1), so that the holders of shares
   * send their first requests at different times, and one of them soon.
   */
  constructor(
    ownShare: (requestsPerSecond: number) => number,
    spread: number,
  ) {
    this.#ownShare = ownShare;
    this.#spread = spread;
  }

  /**
   * Milliseconds until a request is allowed; `Infinity` if the server is cold
   * and this entry holds no share of the rate.
   */
  millisecondsUntilAllowed(
    requestsPerSecond: number,
    isCold: boolean,
    now: number,
  ): number {
    const hasBecomeCold = isCold && !this.#wasCold;
    this.#wasCold = isCold;
    if (!isCold) return 0;
    if (hasBecomeCold) this.#bucket.reset(this.#spread, now);
    const rate = this.#ownShare(requestsPerSecond);
    const milliseconds = this.#bucket.millisecondsUntilToken(rate, now);
    return rate > 0 ? milliseconds : Infinity;
  }

  /** Uses up the permission for one request. */
  spend(): void {
    this.#bucket.spend();
  }
}
