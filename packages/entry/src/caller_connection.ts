/**
 * Notifies a running call that its caller has disconnected.
 *
 * An `AbortController` would do the same, but aborting one creates an exception
 * for each call, which was the top item in the profile of the hot path.
 */
import type { ServerResponse } from "node:http";

export class CallerConnection {
  readonly #response: ServerResponse;
  #onClose: (() => void) | undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
    response.once("close", () => this.#onClose?.());
  }

  get isClosed(): boolean {
    return this.#response.destroyed;
  }

  /** Calls `onClose` when the caller disconnects, or now if it already has. */
  setCloseListener(onClose: () => void): void {
    this.#onClose = onClose;
    if (this.isClosed) onClose();
  }

  clearCloseListener(): void {
    this.#onClose = undefined;
  }
}
