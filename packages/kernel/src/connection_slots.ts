/**
 * Limits the open connections of a server: at the limit, the connection that
 * has been idle longest is closed in favour of the new one.
 */

export class ConnectionSlots<Connection> {
  readonly #maximum: number;
  readonly #open = new Set<Connection>();
  /** In the order in which they became idle. */
  readonly #idle = new Set<Connection>();

  constructor(maximum: number) {
    this.#maximum = maximum;
  }

  /**
   * Takes up a new connection; returns the one to close, which is the new one
   * if none is idle.
   */
  add(connection: Connection): Connection | undefined {
    if (this.#open.size < this.#maximum) {
      this.#open.add(connection);
      this.#idle.add(connection);
      return undefined;
    }
    const [longestIdle] = this.#idle;
    if (longestIdle === undefined) return connection;
    this.remove(longestIdle);
    this.#open.add(connection);
    this.#idle.add(connection);
    return longestIdle;
  }

  markBusy(connection: Connection): void {
    this.#idle.delete(connection);
  }

  markIdle(connection: Connection): void {
    if (this.#open.has(connection)) this.#idle.add(connection);
  }

  remove(connection: Connection): void {
    this.#open.delete(connection);
    this.#idle.delete(connection);
  }
}
