/**
 * Timers on a virtual clock, kept in a heap: fleets of many members set
 * hundreds of timers at a time, which the fake timers of the test runner
 * search one by one.
 */
import { vi } from "vitest";

type Timer = {
  readonly at: number;
  /** Timers of the same time run in the order in which they were set. */
  readonly order: number;
  readonly action: () => void;
  isCleared: boolean;
};

export class VirtualClock {
  now = 0;
  #count = 0;
  readonly #heap: Timer[] = [];

  /** Puts the global timers on this clock, until globals are unstubbed. */
  install(): void {
    vi.stubGlobal("setTimeout", (action: () => void, milliseconds = 0) => {
      const at = this.now + milliseconds;
      const timer = { at, order: this.#count++, action, isCleared: false };
      this.#push(timer);
      return timer;
    });
    vi.stubGlobal("clearTimeout", (timer: Timer | undefined) => {
      if (timer !== undefined) timer.isCleared = true;
    });
  }

  /** Runs the timers of the next while. */
  advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.#heap.length > 0 && this.#heap[0].at <= end) {
      const timer = this.#pop();
      this.now = timer.at;
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
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}
