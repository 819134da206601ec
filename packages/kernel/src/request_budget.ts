/**
 * Memory that the requests in progress and the unread answers may use together,
 * by an estimate of their cost, and what follows when it is used up.
 *
 * Half of the budget is kept for requests with small heads that are alone on
 * their connection, so that they still fit when others fill the rest. Those of
 * them with large bodies leave a part to the others. Callers that are late with
 * what they owe give way to such requests.
 */
import { LATE_MILLISECONDS } from "./caller_debt.ts";

export type RequestSize = {
  readonly headerLines: number;
  readonly headerBytes: number;
  /** Bytes of the body that are held in memory. */
  readonly bodyBytes: number;
};

/**
 * - `refuse-last`: refused, and nothing more is read from the connection, as
 *   the memory of a large head is taken before it can be refused.
 * - `close`: the connection has too many requests without an answer.
 */
export type RequestDecision = "serve" | "refuse" | "refuse-last" | "close";

type Held = {
  unanswered: number;
  requestBytes: number;
  unreadBytes: number;
  lateMilliseconds: number;
  isClosing: boolean;
};

/** Objects of a request with its attempts, timers and connections. */
const REQUEST_BYTES = 40_000;
/** Copies of a line: as received, by name, and as it is sent on. */
const HEADER_LINE_BYTES = 300;
const COPIES_OF_HEADER_BYTES = 4;
/** A refused request keeps its answer until those before it are sent. */
export const REFUSED_REQUEST_BYTES = 6_000;
const MAXIMUM_SMALL_REQUEST_BYTES = 80_000;
const SHARE_OF_OTHERS = 0.5;
const SHARE_OF_LARGE_BODIES = 0.6;
const WEIGHT_OF_LATE_CALLERS = 8;
/** Refusals may exceed the budget by this before a connection is closed. */
const CLOSING_SHARE = 1.25;

export function requestCost(size: RequestSize): number {
  return REQUEST_BYTES + size.headerLines * HEADER_LINE_BYTES +
    size.headerBytes * COPIES_OF_HEADER_BYTES + size.bodyBytes;
}

function shareOf(isOrdinary: boolean, cost: number): number {
  if (!isOrdinary) return SHARE_OF_OTHERS;
  return cost <= MAXIMUM_SMALL_REQUEST_BYTES ? 1 : SHARE_OF_LARGE_BODIES;
}

function bytesOf({ requestBytes, unreadBytes }: Held): number {
  return requestBytes + unreadBytes;
}

function isLate({ lateMilliseconds }: Held): boolean {
  return lateMilliseconds > LATE_MILLISECONDS;
}

function isSmallAndAlone(held: Held): boolean {
  return held.unanswered <= 1 && bytesOf(held) <= MAXIMUM_SMALL_REQUEST_BYTES;
}

export class RequestBudget<Connection> {
  readonly #budgetBytes: number;
  readonly #held = new Map<Connection, Held>();
  #totalBytes = 0;

  constructor(budgetBytes: number) {
    this.#budgetBytes = budgetBytes;
  }

  get heldBytes(): number {
    return this.#totalBytes;
  }

  decide(
    connection: Connection,
    { cost, headCost, maximumUnanswered }: {
      readonly cost: number;
      /** The cost without the body, of which only a part may ever be held. */
      readonly headCost: number;
      readonly maximumUnanswered: number;
    },
  ): RequestDecision {
    const unanswered = this.#held.get(connection)?.unanswered ?? 0;
    if (unanswered >= maximumUnanswered) return "close";
    const isSmall = headCost <= MAXIMUM_SMALL_REQUEST_BYTES;
    const isOrdinary = unanswered === 0 && isSmall;
    const share = shareOf(isOrdinary, cost);
    const fits = this.#totalBytes === 0 ||
      this.#totalBytes + cost <= this.#budgetBytes * share;
    if (fits) return "serve";
    return isSmall ? "refuse" : "refuse-last";
  }

  add(connection: Connection, bytes: number): void {
    const held = this.#heldBy(connection);
    held.unanswered += 1;
    held.requestBytes += bytes;
    this.#totalBytes += bytes;
  }

  remove(connection: Connection, bytes: number): void {
    const held = this.#held.get(connection);
    if (held === undefined) return;
    held.unanswered -= 1;
    held.requestBytes -= bytes;
    this.#totalBytes -= bytes;
    if (held.unanswered === 0 && held.unreadBytes === 0) {
      this.#held.delete(connection);
    }
  }

  /** Adds to what a request holds that was added before. */
  extend(connection: Connection, bytes: number): void {
    const held = this.#held.get(connection);
    if (held === undefined) return;
    held.requestBytes += bytes;
    this.#totalBytes += bytes;
  }

  /**
   * Sets the bytes of answers, and of incomplete heads, on a connection, and how
   * late its caller is with what it owes.
   */
  setUnread(
    connection: Connection,
    bytes: number,
    lateMilliseconds = 0,
  ): void {
    if (bytes === 0 && !this.#held.has(connection)) return;
    const held = this.#heldBy(connection);
    held.lateMilliseconds = lateMilliseconds;
    this.#totalBytes += bytes - held.unreadBytes;
    held.unreadBytes = bytes;
    if (bytes === 0 && held.unanswered === 0) this.#held.delete(connection);
  }

  /**
   * A connection that is being closed keeps its memory until it is forgotten,
   * but is no longer one that can be closed.
   */
  markClosing(connection: Connection): void {
    const held = this.#held.get(connection);
    if (held !== undefined) held.isClosing = true;
  }

  forget(connection: Connection): void {
    const held = this.#held.get(connection);
    if (held === undefined) return;
    this.#totalBytes -= held.requestBytes + held.unreadBytes;
    this.#held.delete(connection);
  }

  /**
   * The connection to close in favour of a request that does not fit, if the
   * request is alone on its own connection and another caller is late.
   */
  connectionToMakeRoom(connection: Connection): Connection | undefined {
    if ((this.#held.get(connection)?.unanswered ?? 0) > 0) return undefined;
    return this.#largest((held) =>
      isLate(held) && held.unanswered <= 1 ? bytesOf(held) : 0
    );
  }

  /**
   * The connection to close, while the budget is exceeded: the one that holds
   * most, of which that of a late caller counts more. If those that are being
   * closed take up the budget, only `current` is closed, unless it has one small
   * request.
   */
  connectionToClose(current?: Connection): Connection | undefined {
    const maximum = this.#budgetBytes * CLOSING_SHARE;
    if (this.#totalBytes <= maximum) return undefined;
    // A request that is alone is served, also if it exceeds the budget.
    if (this.#held.size === 1) return undefined;
    if (this.#totalBytes - this.#closingBytes() > maximum) {
      return this.#largest((held) =>
        bytesOf(held) * (isLate(held) ? WEIGHT_OF_LATE_CALLERS : 1)
      );
    }
    const held = current === undefined ? undefined : this.#held.get(current);
    const mayClose = held !== undefined && !held.isClosing &&
      !isSmallAndAlone(held);
    return mayClose ? current : undefined;
  }

  #closingBytes(): number {
    let bytes = 0;
    for (const held of this.#held.values()) {
      if (held.isClosing) bytes += bytesOf(held);
    }
    return bytes;
  }

  /** The connection of the largest weight; those without one do not count. */
  #largest(weightOf: (held: Held) => number): Connection | undefined {
    let largest: Connection | undefined;
    let largestWeight = 0;
    for (const [connection, held] of this.#held) {
      const weight = weightOf(held);
      if (held.isClosing || weight <= largestWeight) continue;
      largest = connection;
      largestWeight = weight;
    }
    return largest;
  }

  #heldBy(connection: Connection): Held {
    let held = this.#held.get(connection);
    if (held === undefined) {
      held = {
        unanswered: 0,
        requestBytes: 0,
        unreadBytes: 0,
        lateMilliseconds: 0,
        isClosing: false,
      };
      this.#held.set(connection, held);
    }
    return held;
  }
}
