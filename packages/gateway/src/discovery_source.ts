/**
 * The port through which an entry reads a discovery service: complete
 * readings, and a watch that waits for changes after a revision.
 */
import type { Result } from "neverthrow";
import type {
  DiscoveryChange,
  DiscoveryListing,
} from "@marigoldford/kernel/discovery_state";

/**
 * - `refused`: the service turned the call away.
 * - `unreachable`: no connection, or it broke.
 * - `timed-out`: connected, but silent for too long.
 * - `history-gone`: the changes after the revision are no longer kept.
 * - `malformed`: the answer could not be read.
 */
export type DiscoveryFailure = {
  readonly kind:
    | "refused"
    | "unreachable"
    | "timed-out"
    | "history-gone"
    | "malformed";
  readonly detail: string;
};

export type DiscoveryChanges = {
  readonly changes: readonly DiscoveryChange[];
  /** Revision up to which the changes are complete. */
  readonly revision: number;
};

export type DiscoverySource = {
  readonly readAll: () => Promise<Result<DiscoveryListing, DiscoveryFailure>>;
  /** Resolves at the first change, or without any after the wait. */
  readonly watch: (
    afterRevision: number,
    waitMilliseconds: number,
  ) => Promise<Result<DiscoveryChanges, DiscoveryFailure>>;
  readonly close: () => void;
};
