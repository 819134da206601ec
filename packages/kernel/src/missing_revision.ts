/**
 * Decides when an entry that is behind its peers requests their whole state.
 *
 * Changes reach it by several ways and not always in order, so that it is often
 * behind for a moment. The whole state is large, and in a large fleet most
 * peers are in other failure domains.
 */
import type { Clock } from "./types.ts";

/** Changes that are on their way arrive sooner. */
const PATIENCE_MILLISECONDS = 300;

export class MissingRevision {
  readonly #clock: Clock;
  #missing: { readonly revision: number; readonly since: number } | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that a peer has `revision` while this entry has `ownRevision`, 0 if
   * it has no state. Returns whether to request the state of the peer.
   */
  mustRequest(revision: number, ownRevision: number): boolean {
    if (ownRevision === 0) return true;
    const now = this.#clock();
    if (this.#missing === undefined || this.#missing.revision <= ownRevision) {
      this.#missing = { revision, since: now };
    }
    return now - this.#missing.since >= PATIENCE_MILLISECONDS;
  }
}
