/**
 * Limits the open connections of a server. At the limit, a new connection takes
 * the place of the one whose caller is latest with what it owes, or else of the
 * one that has been idle longest.
 */
import { LATE_MILLISECONDS } from "./caller_debt.ts";

export class ConnectionSlots<Connection> {
  readonly #maximum: number;
  readonly #lateMilliseconds: (connection: Connection) => number;
  readonly #open = new Set<Connection>();
  /** In the order in which they became idle. */
  readonly #idle = new Set<Connection>();

  /** `lateMilliseconds` tells how late the caller of a busy connection is. */
  constructor(
    maximum: number,
    lateMilliseconds: (connection: Connection) => number = () => 0,
  ) {
    this.#maximum = maximum;
    this.#lateMilliseconds = lateMilliseconds;
  }

  /**
   * Takes up a new connection; returns the one to close, which is the new one
   * if no other gives way.
   */
  add(connection: Connection): Connection | undefined {
    if (this.#open.size < this.#maximum) {
      this.#open.add(connection);
      this.#idle.add(connection);
      return undefined;
    }
    const [longestIdle] = this.#idle;
    const excess = this.#latest() ?? longestIdle;
    if (excess === undefined) return connection;
    this.remove(excess);
    this.#open.add(connection);
    this.#idle.add(connection);
    return excess;
  }

  markBusy(connection: Connection): void {
    this.#idle.delete(connection);
  }

  markIdle(connection: Connection): void {
    if (this.#open.has(connection)) this.#idle.add(connection);
  }

  /** The connection whose caller is latest, if any is late. */
  #latest(): Connection | undefined {
    let latest: Connection | undefined;
    let most = LATE_MILLISECONDS;
    for (const connection of this.#open) {
      if (this.#idle.has(connection)) continue;
      const late = this.#lateMilliseconds(connection);
      if (late <= most) continue;
      latest = connection;
      most = late;
    }
    return latest;
  }

  remove(connection: Connection): void {
    this.#open.delete(connection);
    this.#idle.delete(connection);
  }
}
