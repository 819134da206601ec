/**
 * The list of entries that callers may use, as served to them.
 */
import type { EntryRecord } from "@marigoldford/kernel/entry_directory";
import type { EntriesAnswer } from "@marigoldford/kernel/entry_endpoint";
import type { KeyPrefix } from "@marigoldford/kernel/idempotency_key";
import type { Incarnation, RandomSource } from "@marigoldford/kernel/types";

export type EntriesSources = {
  readonly serving: readonly EntryRecord[];
  readonly self: Incarnation;
  readonly ownKeyPrefix: () => KeyPrefix;
  readonly validMilliseconds: number;
  readonly random: RandomSource;
};

/** Jitter of the validity, so that callers do not all refresh at once. */
const VALIDITY_JITTER_SHARE = 0.3;

/** Lists the entries that this entry considers alive and serving. */
export function describeEntries(sources: EntriesSources): EntriesAnswer {
  const entries = sources.serving.map((record) => ({
    address: record.callAddress,
    incarnation: record.incarnation,
    failureDomain: record.failureDomain,
    keyPrefix: record.incarnation === sources.self
      ? sources.ownKeyPrefix()
      : record.keyPrefix,
  }));
  const jitterFactor = 1 - VALIDITY_JITTER_SHARE * sources.random();
  const validForMilliseconds = Math.floor(
    sources.validMilliseconds * jitterFactor,
  );
  return { entries, validForMilliseconds };
}
