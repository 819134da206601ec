/**
 * The answer to "which entry shall I use".
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

/** The validity varies by this share, so that callers do not ask in step. */
const VALIDITY_SPREAD = 0.3;

/** Lists entries that this side of a partition believes alive and staying. */
export function describeEntries(sources: EntriesSources): EntriesAnswer {
  const entries = sources.serving.map((record) => ({
    address: record.callAddress,
    incarnation: record.incarnation,
    failureDomain: record.failureDomain,
    keyPrefix: record.incarnation === sources.self
      ? sources.ownKeyPrefix()
      : record.keyPrefix,
  }));
  const spread = 1 - VALIDITY_SPREAD * sources.random();
  const validForMilliseconds = Math.floor(sources.validMilliseconds * spread);
  return { entries, validForMilliseconds };
}
