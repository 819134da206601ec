/**
 * Queue of the calls of a service that wait for capacity at a backend server.
 *
 * Calls are woken in order of their deadlines: the call with the least time
 * left is the one that can least afford to wait longer.
 */

/** A waiting call. `wake` is called at most once. */
export type WaitingCall = {
  readonly deadlineAtMilliseconds: number;
  readonly wake: () => void;
};

export class WaitQueue {
  #waiting: WaitingCall[] = [];

  get length(): number {
    return this.#waiting.length;
  }

  /** Inserts a call behind those with the same or an earlier deadline. */
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

  /** Wakes all calls, for example after a change of the intentions. */
  wakeAll(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const call of waiting) call.wake();
  }
}
