/**
 * The answer by which an entry tells callers which entries they may use.
 */
import type { KeyPrefix } from "./idempotency_key.ts";
import type { Address, FailureDomain, Incarnation } from "./types.ts";

/** One entry that a caller may use. */
export type EntryEndpoint = {
  readonly address: Address;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  /** A caller makes a key for this entry by appending a unique part. */
  readonly keyPrefix: KeyPrefix;
};

export type EntriesAnswer = {
  readonly entries: readonly EntryEndpoint[];
  readonly validForMilliseconds: number;
};
