/**
 * Queue of the requests of one service. It is dispatched when a request ends,
 * when a peer grants a slot, and at short intervals, as the ends of other
 * entries' requests are not seen here.
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
/** With fewer ends in the window of the rate, the rate is not known. */
const MINIMUM_KNOWN_ENDS = 4;
/** A request that was dequeued this recently is still being placed. */
const PLACING_MILLISECONDS = 15;

export class ServiceQueue {
  readonly #clock: Clock;
  readonly #queue = new RequestQueue();
  readonly #endRate = new RecentRate();
  readonly #onWaiting: () => void;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #dequeuedAtMilliseconds = -Infinity;

  /** `onWaiting` is called when a request has to wait. */
  constructor(clock: Clock, onWaiting: () => void = () => {}) {
    this.#clock = clock;
    this.#onWaiting = onWaiting;
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

  /**
   * Whether a request is expected to be dequeued within its maximum wait. An
   * entry with few requests of its own cannot tell, and lets it wait.
   */
  isExpectedInTime(request: QueuedRequest): boolean {
    const now = this.#clock();
    const isRateKnown = this.#endRate.count(now) >= MINIMUM_KNOWN_ENDS;
    const ahead = isRateKnown ? this.#queue.countAhead(request, now) : 0;
    const wait = ahead * this.#endRate.meanIntervalMilliseconds(now);
    return !isPastMaximumWait(request, now + wait);
  }

  add(request: QueuedRequest): void {
    this.#queue.add(request);
    this.#schedule();
    this.#onWaiting();
  }

  /** The request that is dequeued next. */
  get first(): QueuedRequest | undefined {
    return this.#queue.first(this.#clock());
  }

  /** Whether a request waits, or has just been dequeued to be placed. */
  get isWaiting(): boolean {
    const elapsed = this.#clock() - this.#dequeuedAtMilliseconds;
    return this.#queue.length > 0 || elapsed < PLACING_MILLISECONDS;
  }

  /** A server has room for a request. */
  recordRoom(): void {
    if (this.#queue.length > 0) this.#dispatch();
  }

  remove(request: QueuedRequest): void {
    this.#queue.remove(request);
  }

  /** A request of the service has ended, so there may be capacity. */
  recordRequestEnd(): void {
    this.#endRate.recordEvent(this.#clock());
    this.recordRoom();
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
    const next = this.#queue.takeNext(now);
    if (next !== undefined) this.#dequeuedAtMilliseconds = now;
    next?.onDequeued("try");
    this.#schedule();
  }
}
