/**
 * What the demo and the failure tests ask of entries.
 */
import { randomUUID } from "node:crypto";
import type {
  EntriesAnswer,
  EntryEndpoint,
} from "@marigoldford/kernel/entry_endpoint";
import { mintKey } from "@marigoldford/kernel/idempotency_key";
import type { RunningEntry } from "./fleet.ts";
import { readJson } from "./http_requests.ts";

/** The entries that an entry offers to callers. */
export async function readEntryEndpoints(
  entry: RunningEntry,
): Promise<readonly EntryEndpoint[]> {
  const answer = await readJson<EntriesAnswer>(
    entry.callAddress,
    "/marigoldford/entries",
  );
  return answer.entries;
}

/** A key that `entry` owns. */
export async function mintKeyOwnedBy(entry: RunningEntry): Promise<string> {
  const own = (await readEntryEndpoints(entry)).find(({ incarnation }) =>
    incarnation === entry.incarnation
  );
  if (own === undefined) throw new Error("The entry does not offer itself");
  return mintKey(own.keyPrefix, randomUUID());
}

/** A counter from the text of the metrics page. */
export function readCounter(text: string, name: string): number {
  const match = new RegExp(`marigoldford_${name}_total (\\d+)`).exec(text);
  return Number(match?.[1] ?? 0);
}
