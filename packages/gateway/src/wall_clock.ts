/**
 * Notices jumps of the wall clock against the monotonic clock, which does not
 * advance while the instance is suspended.
 */
export class WallClock {
  #offset = Date.now() - performance.now();

  /** Milliseconds by which the wall clock has jumped since the last call. */
  takeJump(): number {
    const offset = Date.now() - performance.now();
    const jump = Math.abs(offset - this.#offset);
    this.#offset = offset;
    return jump;
  }
}
