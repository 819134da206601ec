/**
 * How late a caller is with what it owes: the rest of a body, or the reading of
 * its answers. A caller on a slow link is not late while it transfers at least
 * at the minimum rate.
 */

const MILLISECONDS_IN_SECOND = 1_000;
const MINIMUM_BYTES_PER_SECOND = 8_192;
/** A caller that is later than this gives way to others. */
export const LATE_MILLISECONDS = 1_000;

export class CallerDebt {
  #updatedAtMilliseconds: number | undefined;
  #transferredBytes = 0;
  #lateMilliseconds = 0;

  /** As of the last update; 0 if the caller owes nothing. */
  get lateMilliseconds(): number {
    return this.#lateMilliseconds;
  }

  get isLate(): boolean {
    return this.#lateMilliseconds > LATE_MILLISECONDS;
  }

  /** `transferredBytes` are all bytes that were read and written so far. */
  update(owes: boolean, transferredBytes: number, now: number): void {
    if (!owes) {
      this.#updatedAtMilliseconds = undefined;
      this.#lateMilliseconds = 0;
      return;
    }
    if (this.#updatedAtMilliseconds !== undefined) {
      const permitted = (transferredBytes - this.#transferredBytes) *
        MILLISECONDS_IN_SECOND / MINIMUM_BYTES_PER_SECOND;
      const elapsed = now - this.#updatedAtMilliseconds;
      // What was transferred early is no excuse for a later pause.
      this.#lateMilliseconds = Math.max(
        0,
        this.#lateMilliseconds + elapsed - permitted,
      );
    }
    this.#updatedAtMilliseconds = now;
    this.#transferredBytes = transferredBytes;
  }
}
