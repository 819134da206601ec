/**
 * Interface of a client of the discovery service: a complete listing, and a
 * long poll for the changes after a revision.
 */
import type { Result } from "neverthrow";
import type {
  DiscoveryChange,
  DiscoveryListing,
} from "@marigoldford/kernel/discovery_state";

/**
 * - `refused`: the service rejected the call.
 * - `unreachable`: the connection could not be opened, or it broke.
 * - `timed-out`: connected, but no answer within the timeout.
 * - `history-gone`: the service no longer has the changes after the revision.
 * - `malformed`: the answer could not be parsed.
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
  /** Counts how often the service was restored from a copy, if known. */
  readonly era?: number;
  readonly changes: readonly DiscoveryChange[];
  /** The changes are complete up to this revision. */
  readonly revision: number;
};

export type DiscoverySource = {
  readonly readAll: () => Promise<Result<DiscoveryListing, DiscoveryFailure>>;
  /** Resolves on the first change, or without changes after the wait. */
  readonly watch: (
    afterRevision: number,
    waitMilliseconds: number,
  ) => Promise<Result<DiscoveryChanges, DiscoveryFailure>>;
  readonly close: () => void;
};
