/**
 * What one run of a backend server has said of itself in its answers.
 */

/**
 * Requests a second that a server takes from all entries together, or `none` if
 * its answers name no limit. A limit holds as long as the answers name it.
 */
export type RequestLimit = number | "none";

/** What an answer says of the server that sent it. */
export type ServerStatement = {
  /** `unreadable`: the answer says nothing that changes the limit. */
  readonly requestLimit: RequestLimit | "unreadable";
};

export class ServerRestrictions {
  #requestLimit: RequestLimit = "none";
  #limitSaidAtMilliseconds = -Infinity;

  get requestLimit(): RequestLimit {
    return this.#requestLimit;
  }

  /**
   * Records a statement made at a time; returns whether it changes what is
   * known. Older statements than the last one are ignored.
   */
  recordStatement(
    { requestLimit }: ServerStatement,
    atMilliseconds: number,
  ): boolean {
    if (requestLimit === "unreadable") return false;
    if (atMilliseconds < this.#limitSaidAtMilliseconds) return false;
    this.#limitSaidAtMilliseconds = atMilliseconds;
    if (requestLimit === this.#requestLimit) return false;
    this.#requestLimit = requestLimit;
    return true;
  }
}
