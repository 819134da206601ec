/**
 * Runs the waiting line of one service: whose turn it is when a request ends,
 * and at short intervals, as the end of a peer's request is not seen here.
 */
import { RecentRate } from "@marigoldford/kernel/recent_rate";
import {
  isPastMaximumWait,
  type QueuedRequest,
  RequestQueue,
} from "@marigoldford/kernel/request_queue";
import type { Clock } from "@marigoldford/kernel/types";

/** A service with room for many requests has one ending every few ms. */
const TURN_MILLISECONDS = 8;

export class ServiceQueue {
  readonly #clock: Clock;
  readonly #line = new RequestQueue();
  readonly #endings = new RecentRate();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get length(): number {
    return this.#line.length;
  }

  /** Whether a new request has to wait behind others. */
  hasRequestsAhead(ticket: QueuedRequest): boolean {
    return this.#line.countAhead(ticket, this.#clock()) > 0;
  }

  /** Whether a request is expected to get its turn in time. */
  isExpectedInTime(ticket: QueuedRequest): boolean {
    const now = this.#clock();
    const ahead = this.#line.countAhead(ticket, now);
    const wait = ahead * this.#endings.meanIntervalMilliseconds(now);
    return !isPastMaximumWait(ticket, now + wait);
  }

  add(ticket: QueuedRequest): void {
    this.#line.add(ticket);
    this.#schedule();
  }

  remove(ticket: QueuedRequest): void {
    this.#line.remove(ticket);
  }

  /** A request of the service has ended, so there may be room. */
  recordRequestEnd(): void {
    this.#endings.recordEvent(this.#clock());
    if (this.#line.length > 0) this.#turn();
  }

  #schedule(): void {
    if (this.#timer !== undefined || this.#line.length === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#turn();
    }, TURN_MILLISECONDS);
  }

  #turn(): void {
    const now = this.#clock();
    for (const ticket of this.#line.shedLate(now)) ticket.onDequeued("give-up");
    this.#line.takeNext(now)?.onDequeued("try");
    this.#schedule();
  }
}
