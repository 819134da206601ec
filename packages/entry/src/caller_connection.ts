/**
 * Tells a running call that its caller has gone away.
 *
 * An `AbortController` would do the same, but aborting one builds an
 * exception for each call, which the profile of the hot path showed first.
 */
import type { ServerResponse } from "node:http";

export class CallerConnection {
  readonly #response: ServerResponse;
  #onGone: (() => void) | undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
    response.once("close", () => this.#onGone?.());
  }

  get isClosed(): boolean {
    return this.#response.destroyed;
  }

  /** Calls back when the caller goes, until `ignore` is called. */
  setCloseListener(onGone: () => void): void {
    this.#onGone = onGone;
    if (this.isClosed) onGone();
  }

  clearCloseListener(): void {
    this.#onGone = undefined;
  }
}
