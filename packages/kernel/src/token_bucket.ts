/**
 * Token bucket for the requests that an entry may send to one server. Its rate
 * is given at each use, as the entry's share changes with the fleet.
 */

const MILLISECONDS_IN_SECOND = 1_000;
/** A share may be saved up for this long, but at least for one request. */
const SAVED_MILLISECONDS = 250;

export class TokenBucket {
  #tokens = 0;
  #updatedAtMilliseconds = -Infinity;

  /** Sets the tokens, which `millisecondsUntilToken` adds to from then on. */
  reset(tokens: number, atMilliseconds: number): void {
    this.#tokens = tokens;
    this.#updatedAtMilliseconds = atMilliseconds;
  }

  /** Time until there is a token; `Infinity` at a rate of 0 without one. */
  millisecondsUntilToken(ratePerSecond: number, now: number): number {
    this.#refill(ratePerSecond, now);
    if (this.#tokens >= 1) return 0;
    return (1 - this.#tokens) * MILLISECONDS_IN_SECOND / ratePerSecond;
  }

  spend(): void {
    this.#tokens -= 1;
  }

  #refill(ratePerSecond: number, now: number): void {
    const elapsed = Math.max(0, now - this.#updatedAtMilliseconds);
    this.#updatedAtMilliseconds = now;
    const perMillisecond = ratePerSecond / MILLISECONDS_IN_SECOND;
    this.#tokens = Math.min(
      Math.max(1, SAVED_MILLISECONDS * perMillisecond),
      this.#tokens + elapsed * perMillisecond,
    );
  }
}
