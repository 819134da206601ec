/**
 * Learns how long connections to the backend servers of a service may be idle.
 *
 * A server or a firewall may drop idle connections without notice. The next
 * request on such a connection is reset, and nothing proves that it did not
 * run, so an at-most-once request is lost. After such a reset, connections are
 * closed before they have been idle for that long; without further ones the
 * limit recovers.
 */
import type { Clock } from "./types.ts";

export type IdleLimitOptions = {
  readonly clock: Clock;
  /** Limit while no connection is known to have been dropped. */
  readonly maximumMilliseconds: number;
};

/** Share of the idle time after which a connection was found to be dropped. */
const SAFE_SHARE = 0.7;
/** With shorter limits nearly each request would open a connection. */
const MINIMUM_MILLISECONDS = 100;
/** The limit doubles after each such time without a reset. */
const RECOVERY_MILLISECONDS = 10_000;

export class IdleLimit {
  readonly #options: IdleLimitOptions;
  #learnedMilliseconds = Infinity;
  #learnedAtMilliseconds = 0;

  constructor(options: IdleLimitOptions) {
    this.#options = options;
  }

  /** Idle time after which a connection is closed. */
  get milliseconds(): number {
    const elapsed = this.#options.clock() - this.#learnedAtMilliseconds;
    const doublings = Math.floor(elapsed / RECOVERY_MILLISECONDS);
    return Math.min(
      this.#options.maximumMilliseconds,
      this.#learnedMilliseconds * 2 ** doublings,
    );
  }

  /** Records that a connection was reset when it was used after an idle time. */
  recordDropped(idleMilliseconds: number): void {
    const limit = Math.max(
      MINIMUM_MILLISECONDS,
      SAFE_SHARE * idleMilliseconds,
    );
    this.#learnedMilliseconds = Math.min(this.milliseconds, limit);
    this.#learnedAtMilliseconds = this.#options.clock();
  }
}
