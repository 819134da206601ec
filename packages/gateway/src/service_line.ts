/**
 * Runs the waiting line of one service: whose turn it is when a request ends,
 * and at short intervals, as the end of a peer's request is not seen here.
 */
import { RecentRate } from "@marigoldford/kernel/recent_rate";
import {
  isHopeless,
  type Ticket,
  WaitingLine,
} from "@marigoldford/kernel/waiting_line";
import type { Clock } from "@marigoldford/kernel/types";

/** A service with room for many requests has one ending every few ms. */
const TURN_MILLISECONDS = 8;

export class ServiceLine {
  readonly #clock: Clock;
  readonly #line = new WaitingLine();
  readonly #endings = new RecentRate();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get length(): number {
    return this.#line.length;
  }

  /** Whether a new request has to wait behind others. */
  hasBefore(ticket: Ticket): boolean {
    return this.#line.countBefore(ticket, this.#clock()) > 0;
  }

  /** Whether a request is expected to get its turn in time. */
  hasHope(ticket: Ticket): boolean {
    const now = this.#clock();
    const ahead = this.#line.countBefore(ticket, now);
    const wait = ahead * this.#endings.meanInterval(now);
    return !isHopeless(ticket, now + wait);
  }

  enter(ticket: Ticket): void {
    this.#line.add(ticket);
    this.#schedule();
  }

  leave(ticket: Ticket): void {
    this.#line.remove(ticket);
  }

  /** A request of the service has ended, so there may be room. */
  noteRoom(): void {
    this.#endings.note(this.#clock());
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
    for (const ticket of this.#line.takeHopeless(now)) ticket.onTurn("give-up");
    this.#line.takeNext(now)?.onTurn("try");
    this.#schedule();
  }
}
