/**
 * A short queue of calls that wait for a backend server with room.
 *
 * Calls leave in order of deadline, because the call with the least time left
 * is the one that cannot wait for another turn.
 */

/** One waiting call. `wake` is called at most once. */
export type WaitingCall = {
  readonly deadlineAtMilliseconds: number;
  readonly wake: () => void;
};

export class WaitQueue {
  #waiting: WaitingCall[] = [];

  get length(): number {
    return this.#waiting.length;
  }

  /** Adds a call behind those with an earlier deadline. */
  add(call: WaitingCall): void {
    const index = this.#waiting.findIndex((other) =>
      other.deadlineAtMilliseconds > call.deadlineAtMilliseconds
    );
    if (index < 0) this.#waiting.push(call);
    else this.#waiting.splice(index, 0, call);
  }

  remove(call: WaitingCall): void {
    this.#waiting = this.#waiting.filter((other) => other !== call);
  }

  /** Wakes the call with the earliest deadline. */
  wakeNext(): void {
    this.#waiting.shift()?.wake();
  }

  /** Wakes all, for example when the intentions changed. */
  wakeAll(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const call of waiting) call.wake();
  }
}
