/**
 * Simulated time for tests. Timers are kept in a heap, because a simulated
 * fleet has hundreds of pending timers and the fake timers of the test runner
 * scan all of them for each one that fires.
 */
import { vi } from "vitest";

type Timer = {
  readonly dueAtMilliseconds: number;
  /** Timers that are due at the same time run in the order they were set. */
  readonly sequence: number;
  readonly action: () => void;
  isCleared: boolean;
};

export class VirtualClock {
  now = 0;
  #timersSet = 0;
  readonly #heap: Timer[] = [];

  /** Replaces the global timer functions until globals are unstubbed. */
  install(): void {
    vi.stubGlobal("setTimeout", (action: () => void, milliseconds = 0) => {
      const dueAtMilliseconds = this.now + milliseconds;
      const timer = {
        dueAtMilliseconds,
        sequence: this.#timersSet++,
        action,
        isCleared: false,
      };
      this.#push(timer);
      return timer;
    });
    vi.stubGlobal("clearTimeout", (timer: Timer | undefined) => {
      if (timer !== undefined) timer.isCleared = true;
    });
  }

  /** Advances the clock and runs the timers that become due. */
  advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.#heap.length > 0 && this.#heap[0].dueAtMilliseconds <= end) {
      const timer = this.#pop();
      this.now = timer.dueAtMilliseconds;
      if (!timer.isCleared) timer.action();
    }
    this.now = end;
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index], heap[parent])) return;
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  #pop(): Timer {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop() ?? first;
    if (heap.length === 0) return first;
    heap[0] = last;
    for (let index = 0;;) {
      const left = 2 * index + 1;
      if (left >= heap.length) return first;
      const right = left + 1;
      const child = right < heap.length && isBefore(heap[right], heap[left])
        ? right
        : left;
      if (!isBefore(heap[child], heap[index])) return first;
      [heap[index], heap[child]] = [heap[child], heap[index]];
      index = child;
    }
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.dueAtMilliseconds < right.dueAtMilliseconds ||
    (left.dueAtMilliseconds === right.dueAtMilliseconds &&
      left.sequence < right.sequence);
}
