/**
 * Queue of the requests of one service. It is dispatched when a request ends,
 * and at short intervals, as the ends of other entries' requests are not seen
 * here.
 */
import { RecentRate } from "@marigoldford/kernel/recent_rate";
import {
  isPastMaximumWait,
  type QueuedRequest,
  RequestQueue,
} from "@marigoldford/kernel/request_queue";
import type { Clock } from "@marigoldford/kernel/types";

/**
 * Minimum interval of dispatches while requests are queued; a service with
 * capacity for many requests ends one every few milliseconds.
 */
const MINIMUM_DISPATCH_INTERVAL_MILLISECONDS = 8;
/** Each dispatch may probe servers, and long requests end less often. */
const DISPATCH_INTERVAL_SERVICE_TIMES = 0.05;

export class ServiceQueue {
  readonly #clock: Clock;
  readonly #queue = new RequestQueue();
  readonly #endRate = new RecentRate();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get length(): number {
    return this.#queue.length;
  }

  /** Whether other requests are queued ahead of a new one. */
  hasRequestsAhead(request: QueuedRequest): boolean {
    return this.countAhead(request) > 0;
  }

  countAhead(request: QueuedRequest): number {
    return this.#queue.countAhead(request, this.#clock());
  }

  /** Whether a request is expected to be dequeued within its maximum wait. */
  isExpectedInTime(request: QueuedRequest): boolean {
    const now = this.#clock();
    const ahead = this.#queue.countAhead(request, now);
    const wait = ahead * this.#endRate.meanIntervalMilliseconds(now);
    return !isPastMaximumWait(request, now + wait);
  }

  add(request: QueuedRequest): void {
    this.#queue.add(request);
    this.#schedule();
  }

  remove(request: QueuedRequest): void {
    this.#queue.remove(request);
  }

  /** A request of the service has ended, so there may be capacity. */
  recordRequestEnd(): void {
    this.#endRate.recordEvent(this.#clock());
    if (this.#queue.length > 0) this.#dispatch();
  }

  #schedule(): void {
    if (this.#timer !== undefined || this.#queue.length === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#dispatch();
    }, this.#dispatchIntervalMilliseconds());
  }

  #dispatchIntervalMilliseconds(): number {
    return Math.max(
      MINIMUM_DISPATCH_INTERVAL_MILLISECONDS,
      this.#queue.minimumServiceTimeMilliseconds *
        DISPATCH_INTERVAL_SERVICE_TIMES,
    );
  }

  #dispatch(): void {
    const now = this.#clock();
    for (const request of this.#queue.shedLate(now)) {
      request.onDequeued("give-up");
    }
    this.#queue.takeNext(now)?.onDequeued("try");
    this.#schedule();
  }
}
