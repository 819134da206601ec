/**
 * Requests that the demo, the benchmarks and the failure tests send to entries.
 */
import { randomUUID } from "node:crypto";
import type {
  EntriesAnswer,
  EntryEndpoint,
} from "@marigoldford/kernel/entry_endpoint";
import { mintKey } from "@marigoldford/kernel/idempotency_key";
import type { RunningEntry } from "./fleet.ts";
import { readJson } from "./http_requests.ts";

/** Reads the list of entries that an entry gives to callers. */
export async function readEntryEndpoints(
  entry: RunningEntry,
): Promise<readonly EntryEndpoint[]> {
  const answer = await readJson<EntriesAnswer>(
    entry.callAddress,
    "/marigoldford/entries",
  );
  return answer.entries;
}

/** Makes a new idempotency key that `entry` owns. */
export async function mintKeyOwnedBy(entry: RunningEntry): Promise<string> {
  const own = (await readEntryEndpoints(entry)).find(({ incarnation }) =>
    incarnation === entry.incarnation
  );
  if (own === undefined) {
    throw new Error(`Entry ${entry.callAddress} does not list itself`);
  }
  return mintKey(own.keyPrefix, randomUUID());
}

/** Reads a counter from the text of the metrics page; 0 if it is absent. */
export function readCounter(text: string, name: string): number {
  const match = new RegExp(`marigoldford_${name}_total (\\d+)`).exec(text);
  return Number(match?.[1] ?? 0);
}
