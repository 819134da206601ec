/**
 * Memory that the requests in progress and the unread answers may use together,
 * by an estimate of their cost, and what follows when it is used up.
 *
 * Half of the budget is kept for requests with small heads that are alone on
 * their connection, so that they still fit when others fill the rest.
 */

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

type Held = { unanswered: number; requestBytes: number; unreadBytes: number };

/** Objects of a request with its attempts, timers and connections. */
const REQUEST_BYTES = 40_000;
/** Copies of a line: as received, by name, and as it is sent on. */
const HEADER_LINE_BYTES = 300;
const COPIES_OF_HEADER_BYTES = 4;
/** A refused request keeps its answer until those before it are sent. */
export const REFUSED_REQUEST_BYTES = 6_000;
const MAXIMUM_SMALL_REQUEST_BYTES = 80_000;
const SHARE_OF_OTHERS = 0.5;
/** Refusals may exceed the budget by this before a connection is closed. */
const CLOSING_SHARE = 1.25;

export function requestCost(size: RequestSize): number {
  return REQUEST_BYTES + size.headerLines * HEADER_LINE_BYTES +
    size.headerBytes * COPIES_OF_HEADER_BYTES + size.bodyBytes;
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
    const share = isOrdinary ? 1 : SHARE_OF_OTHERS;
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

  /** Sets the bytes of answers, and of incomplete heads, on a connection. */
  setUnread(connection: Connection, bytes: number): void {
    if (bytes === 0 && !this.#held.has(connection)) return;
    const held = this.#heldBy(connection);
    this.#totalBytes += bytes - held.unreadBytes;
    held.unreadBytes = bytes;
    if (bytes === 0 && held.unanswered === 0) this.#held.delete(connection);
  }

  forget(connection: Connection): void {
    const held = this.#held.get(connection);
    if (held === undefined) return;
    this.#totalBytes -= held.requestBytes + held.unreadBytes;
    this.#held.delete(connection);
  }

  /** The connection to close, while the budget is exceeded. */
  connectionToClose(): Connection | undefined {
    if (this.#totalBytes <= this.#budgetBytes * CLOSING_SHARE) return undefined;
    // A request that is alone is served, also if it exceeds the budget.
    if (this.#held.size === 1) return undefined;
    let largest: Connection | undefined;
    let largestBytes = 0;
    for (const [connection, held] of this.#held) {
      const bytes = held.requestBytes + held.unreadBytes;
      if (bytes <= largestBytes) continue;
      largest = connection;
      largestBytes = bytes;
    }
    return largest;
  }

  #heldBy(connection: Connection): Held {
    let held = this.#held.get(connection);
    if (held === undefined) {
      held = { unanswered: 0, requestBytes: 0, unreadBytes: 0 };
      this.#held.set(connection, held);
    }
    return held;
  }
}
