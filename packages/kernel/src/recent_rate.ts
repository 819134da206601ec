/**
 * Mean time between events of the last fraction of a second.
 */
const WINDOW_MILLISECONDS = 250;

export class RecentRate {
  #times: number[] = [];

  recordEvent(now: number): void {
    this.#times.push(now);
    this.#forget(now);
  }

  /** Milliseconds between events; the whole window if there was none. */
  meanIntervalMilliseconds(now: number): number {
    this.#forget(now);
    return WINDOW_MILLISECONDS / Math.max(1, this.#times.length);
  }

  #forget(now: number): void {
    const oldest = now - WINDOW_MILLISECONDS;
    let forgotten = 0;
    while (this.#times[forgotten] < oldest) forgotten += 1;
    if (forgotten > 0) this.#times.splice(0, forgotten);
  }
}
