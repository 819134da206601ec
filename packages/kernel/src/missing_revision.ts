/**
 * Decides when an entry that is behind its peers requests their whole state.
 *
 * Changes reach it by several ways and not always in order, so that it is often
 * behind for a moment. The whole state is large, and in a large fleet most
 * peers are in other failure domains.
 */
import {
  comparePositions,
  type DiscoveryPosition,
} from "./discovery_position.ts";
import type { Clock } from "./types.ts";

/** Changes that are on their way arrive sooner. */
const PATIENCE_MILLISECONDS = 300;

/** How far an entry's state has got. */
export type StateProgress = DiscoveryPosition & {
  /** Version of the snapshot; 0 if there is none or it is not told. */
  readonly snapshotVersion: number;
};

/**
 * Whether the first state lacks what the second has. A position says how much
 * of the service's changes are known; the snapshot may be newer than the one
 * that a restored service holds at that position.
 */
export function isBehind(own: StateProgress, peer: StateProgress): boolean {
  return comparePositions(own, peer) < 0 ||
    own.snapshotVersion < peer.snapshotVersion;
}

export class MissingRevision {
  readonly #clock: Clock;
  #missing:
    | { readonly progress: StateProgress; readonly since: number }
    | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that a peer is ahead of this entry, which has revision 0 if it has
   * no state. Returns whether to request the state of the peer.
   */
  mustRequest(peer: StateProgress, own: StateProgress): boolean {
    if (own.revision === 0) return true;
    const now = this.#clock();
    if (this.#missing === undefined || !isBehind(own, this.#missing.progress)) {
      this.#missing = { progress: peer, since: now };
    }
    return now - this.#missing.since >= PATIENCE_MILLISECONDS;
  }
}
