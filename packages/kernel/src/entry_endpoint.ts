/**
 * The answer to "which entry shall I use", as entries give it and callers
 * read it.
 */
import type { KeyPrefix } from "./idempotency_key.ts";
import type { Address, FailureDomain, Incarnation } from "./types.ts";

/** One entry that a caller may use. */
export type EntryEndpoint = {
  readonly address: Address;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  /** Callers mint keys for this entry by adding a unique part. */
  readonly keyPrefix: KeyPrefix;
};

export type EntriesAnswer = {
  readonly entries: readonly EntryEndpoint[];
  readonly validForMilliseconds: number;
};
