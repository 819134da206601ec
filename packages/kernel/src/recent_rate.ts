/**
 * Mean interval between events, over a sliding window of a fraction of a
 * second.
 */
const WINDOW_MILLISECONDS = 250;

export class RecentRate {
  #eventTimes: number[] = [];

  recordEvent(now: number): void {
    this.#eventTimes.push(now);
    this.#dropExpired(now);
  }

  /** Number of events in the window. */
  count(now: number): number {
    this.#dropExpired(now);
    return this.#eventTimes.length;
  }

  /** Mean interval; the length of the window if it holds no event. */
  meanIntervalMilliseconds(now: number): number {
    this.#dropExpired(now);
    return WINDOW_MILLISECONDS / Math.max(1, this.#eventTimes.length);
  }

  #dropExpired(now: number): void {
    const windowStart = now - WINDOW_MILLISECONDS;
    let expired = 0;
    while (this.#eventTimes[expired] < windowStart) expired += 1;
    if (expired > 0) this.#eventTimes.splice(0, expired);
  }
}
