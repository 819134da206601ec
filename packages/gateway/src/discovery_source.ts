/**
 * Interface of a client of the discovery service: a complete listing, and a
 * long poll for the changes after a revision.
 */
import type { Result } from "neverthrow";
import type { ToldPosition } from "@marigoldford/kernel/discovery_position";
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
 * - `outdated`: the answer is of an era of the service that has ended.
 */
export type DiscoveryFailure = {
  readonly kind:
    | "refused"
    | "unreachable"
    | "timed-out"
    | "history-gone"
    | "malformed"
    | "outdated";
  readonly detail: string;
  /** The era that the answer named, if any. */
  readonly era?: number;
};

/** Changes that are complete up to the position. */
export type DiscoveryChanges = ToldPosition & {
  readonly changes: readonly DiscoveryChange[];
};

export type DiscoverySource = {
  readonly readAll: () => Promise<Result<DiscoveryListing, DiscoveryFailure>>;
  /**
   * Resolves on the first change, or without changes after the wait. The answer
   * may be of another era than the revision.
   */
  readonly watch: (
    afterRevision: number,
    waitMilliseconds: number,
  ) => Promise<Result<DiscoveryChanges, DiscoveryFailure>>;
  readonly close: () => void;
};
