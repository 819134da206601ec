/**
 * Requests of one service that wait at the entry until a backend server has
 * room.
 *
 * It answers bursts beyond what the servers can take. Servers queue in order
 * of arrival and slow down when they are full; a line at the entry keeps them
 * at the load at which they answer the most, gives the room to those who can
 * still be answered in time, the more urgent first, and refuses the others
 * while they can still go elsewhere.
 */
export type QueuedRequest = {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time that an answer is expected to take once there is room. */
  readonly serviceTimeMilliseconds: number;
  /** Until then an answer has its full worth. */
  readonly objectiveAtMilliseconds: number;
  /** Until then an answer has some worth. */
  readonly deadlineAtMilliseconds: number;
  readonly arrivedAtMilliseconds: number;
  /** Whether the caller was refused before and has come back late. */
  readonly isCallerRetry: boolean;
  readonly onDequeued: (turn: QueueDecision) => void;
};

/** `try`: there may be room. `give-up`: no answer is expected in time. */
export type QueueDecision = "try" | "give-up";

/**
 * A request waits for this part of its objective at the most. Callers that are
 * told to come back have time left to do so.
 */
const MOST_WAIT_OBJECTIVES = 0.5;
/** A caller that comes back is late already and is told soon. */
const RETURNING_MILLISECONDS = 30;

export class RequestQueue {
  readonly #tickets = new Set<QueuedRequest>();

  get length(): number {
    return this.#tickets.size;
  }

  add(ticket: QueuedRequest): void {
    this.#tickets.add(ticket);
  }

  remove(ticket: QueuedRequest): void {
    this.#tickets.delete(ticket);
  }

  /**
   * Takes those out that are not expected to be answered in time. While
   * others could still be in time a late request would only take their room;
   * its caller is told so at once, unless it was told so before.
   */
  shedLate(now: number): QueuedRequest[] {
    const hopeless: QueuedRequest[] = [];
    const isContested = this.#hasPunctual(now);
    for (const ticket of this.#tickets) {
      const isCrowdedOut = isContested && !canBeInTime(ticket, now);
      if (isCrowdedOut || isPastMaximumWait(ticket, now)) hopeless.push(ticket);
    }
    for (const ticket of hopeless) this.#tickets.delete(ticket);
    return hopeless;
  }

  #hasPunctual(now: number): boolean {
    for (const ticket of this.#tickets) {
      if (canBeInTime(ticket, now)) return true;
    }
    return false;
  }

  /** Takes the next one out: who can be in time, then who is urgent. */
  takeNext(now: number): QueuedRequest | undefined {
    let best: QueuedRequest | undefined;
    for (const ticket of this.#tickets) {
      if (best === undefined || isBefore(ticket, best, now)) best = ticket;
    }
    if (best !== undefined) this.#tickets.delete(best);
    return best;
  }

  /** Tickets that go before this one. */
  countAhead(ticket: QueuedRequest, now: number): number {
    let count = 0;
    for (const other of this.#tickets) {
      if (isBefore(other, ticket, now)) count += 1;
    }
    return count;
  }
}

/** Whether no answer is expected in time, whoever else waits. */
export function isPastMaximumWait(ticket: QueuedRequest, now: number): boolean {
  return now > ticket.arrivedAtMilliseconds + patienceOf(ticket);
}

/** How long a request may wait for its turn. */
function patienceOf(ticket: QueuedRequest): number {
  const { arrivedAtMilliseconds: arrived, serviceTimeMilliseconds: work } =
    ticket;
  if (ticket.isCallerRetry) return RETURNING_MILLISECONDS;
  return Math.min(
    ticket.deadlineAtMilliseconds - arrived - work,
    MOST_WAIT_OBJECTIVES * (ticket.objectiveAtMilliseconds - arrived),
  );
}

function canBeInTime(ticket: QueuedRequest, now: number): boolean {
  return !ticket.isCallerRetry &&
    now + ticket.serviceTimeMilliseconds <= ticket.objectiveAtMilliseconds;
}

function isBefore(
  left: QueuedRequest,
  right: QueuedRequest,
  now: number,
): boolean {
  const isLeftInTime = canBeInTime(left, now);
  if (isLeftInTime !== canBeInTime(right, now)) return isLeftInTime;
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.objectiveAtMilliseconds < right.objectiveAtMilliseconds;
}
