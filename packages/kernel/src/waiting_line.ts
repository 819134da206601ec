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
export type Ticket = {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time that an answer is expected to take once there is room. */
  readonly workMilliseconds: number;
  /** Until then an answer has its full worth. */
  readonly objectiveAtMilliseconds: number;
  /** Until then an answer has some worth. */
  readonly deadlineAtMilliseconds: number;
  readonly arrivedAtMilliseconds: number;
  /** Whether the caller was refused before and has come back late. */
  readonly isReturning: boolean;
  readonly onTurn: (turn: Turn) => void;
};

/** `try`: there may be room. `give-up`: no answer is expected in time. */
export type Turn = "try" | "give-up";

/**
 * A request waits for this part of its objective at the most. Callers that are
 * told to come back have time left to do so.
 */
const MOST_WAIT_OBJECTIVES = 0.5;
/** A caller that comes back is late already and is told soon. */
const RETURNING_MILLISECONDS = 30;

export class WaitingLine {
  readonly #tickets = new Set<Ticket>();

  get length(): number {
    return this.#tickets.size;
  }

  add(ticket: Ticket): void {
    this.#tickets.add(ticket);
  }

  remove(ticket: Ticket): void {
    this.#tickets.delete(ticket);
  }

  /**
   * Takes those out that are not expected to be answered in time. While
   * others could still be in time a late request would only take their room;
   * its caller is told so at once, unless it was told so before.
   */
  takeHopeless(now: number): Ticket[] {
    const hopeless: Ticket[] = [];
    const isContested = this.#hasPunctual(now);
    for (const ticket of this.#tickets) {
      const isCrowdedOut = isContested && !canBeInTime(ticket, now);
      if (isCrowdedOut || isHopeless(ticket, now)) hopeless.push(ticket);
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
  takeNext(now: number): Ticket | undefined {
    let best: Ticket | undefined;
    for (const ticket of this.#tickets) {
      if (best === undefined || isBefore(ticket, best, now)) best = ticket;
    }
    if (best !== undefined) this.#tickets.delete(best);
    return best;
  }

  /** Tickets that go before this one. */
  countBefore(ticket: Ticket, now: number): number {
    let count = 0;
    for (const other of this.#tickets) {
      if (isBefore(other, ticket, now)) count += 1;
    }
    return count;
  }
}

/** Whether no answer is expected in time, whoever else waits. */
export function isHopeless(ticket: Ticket, now: number): boolean {
  return now > ticket.arrivedAtMilliseconds + patienceOf(ticket);
}

/** How long a request may wait for its turn. */
function patienceOf(ticket: Ticket): number {
  const { arrivedAtMilliseconds: arrived, workMilliseconds: work } = ticket;
  if (ticket.isReturning) return RETURNING_MILLISECONDS;
  return Math.min(
    ticket.deadlineAtMilliseconds - arrived - work,
    MOST_WAIT_OBJECTIVES * (ticket.objectiveAtMilliseconds - arrived),
  );
}

function canBeInTime(ticket: Ticket, now: number): boolean {
  return !ticket.isReturning &&
    now + ticket.workMilliseconds <= ticket.objectiveAtMilliseconds;
}

function isBefore(left: Ticket, right: Ticket, now: number): boolean {
  const isLeftInTime = canBeInTime(left, now);
  if (isLeftInTime !== canBeInTime(right, now)) return isLeftInTime;
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.objectiveAtMilliseconds < right.objectiveAtMilliseconds;
}
