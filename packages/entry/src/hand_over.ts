/**
 * Hands this entry's tables of protected calls over to a successor.
 *
 * The hand-over is complete only when the successor has acknowledged every
 * part. If a successor fails, the next one is sent all parts from the first;
 * the failed one is left with an incomplete table, which proves nothing about
 * keys it has no record of.
 */
import type {
  AdoptedTables,
  HandOverPart,
} from "@marigoldford/kernel/adopted_tables";
import type {
  EntryDirectory,
  EntryRecord,
} from "@marigoldford/kernel/entry_directory";
import type {
  KeyRecord,
  ProtectedCallTable,
} from "@marigoldford/kernel/protected_call_table";
import { rankMembers } from "@marigoldford/kernel/rendezvous";
import type { Clock, Incarnation } from "@marigoldford/kernel/types";
import { Logger } from "@marigoldford/logger/logger";
import type { MeshNode } from "@marigoldford/mesh/mesh_node";

export type HandOverOptions = {
  readonly clock: Clock;
  readonly incarnation: Incarnation;
  readonly table: ProtectedCallTable;
  readonly adopted: AdoptedTables;
  readonly directory: EntryDirectory;
  readonly mesh: MeshNode;
  readonly timeoutMilliseconds: number;
};

const MAXIMUM_RECORDS_PER_PART = 200;
const MAXIMUM_BYTES_PER_PART = 1_000_000;
const LOG = new Logger("hand-over");

/** Returns the successor, or undefined if none accepted all the tables. */
export async function handOverTables(
  options: HandOverOptions,
): Promise<Incarnation | undefined> {
  const startedAt = options.clock();
  for (const successor of rankSuccessors(options)) {
    const elapsed = options.clock() - startedAt;
    const remainingMilliseconds = options.timeoutMilliseconds - elapsed;
    if (remainingMilliseconds <= 0) return undefined;
    if (await sendTables(successor, { ...options, remainingMilliseconds })) {
      LOG.write("complete", () => ({ successor: successor.incarnation }));
      return successor.incarnation;
    }
    LOG.write("failed", () => ({ successor: successor.incarnation }));
  }
  return undefined;
}

function rankSuccessors(options: HandOverOptions): EntryRecord[] {
  const serving = options.directory.servingEntries()
    .filter(({ incarnation }) => incarnation !== options.incarnation);
  const names = serving.map(({ incarnation }) => incarnation);
  const ranked = rankMembers(`succeed ${options.incarnation}`, names);
  return ranked.flatMap((name) => options.directory.find(name) ?? []);
}

async function sendTables(
  successor: EntryRecord,
  options: HandOverOptions & { readonly remainingMilliseconds: number },
): Promise<boolean> {
  for (const part of partsOfAllTables(options)) {
    const reply = await options.mesh.request(successor.meshAddress, {
      content: { kind: "hand-over-part", ...part },
      timeoutMilliseconds: options.remainingMilliseconds,
    });
    const isAccepted = reply?.kind === "hand-over-acknowledgement" &&
      reply.accepted;
    if (!isAccepted) return false;
  }
  return true;
}

/** Adopted tables come first: the own table's last part ends the hand-over. */
function* partsOfAllTables(options: HandOverOptions): Generator<HandOverPart> {
  for (const leaver of options.adopted.leavers) {
    if (!options.adopted.isComplete(leaver)) continue;
    yield* partsOf(leaver, {
      records: options.adopted.recordsOf(leaver),
      now: options.adopted.leaverNowMilliseconds(leaver),
    });
  }
  const records = options.table.records();
  const now = options.clock();
  yield* partsOf(options.incarnation, { records, now });
}

function* partsOf(
  leaver: Incarnation,
  table: { readonly records: readonly KeyRecord[]; readonly now: number },
): Generator<HandOverPart> {
  const groups = groupRecords(table.records);
  for (const [index, records] of groups.entries()) {
    yield {
      leaver,
      index,
      isLast: index === groups.length - 1,
      leaverNowMilliseconds: table.now,
      records,
    };
  }
}

/** Returns at least one group, so that an empty table is handed over too. */
function groupRecords(records: readonly KeyRecord[]): KeyRecord[][] {
  const groups: KeyRecord[][] = [[]];
  let bytes = 0;
  for (const record of records) {
    const size = record.answer?.body.byteLength ?? 0;
    const current = groups[groups.length - 1];
    const isFull = current.length >= MAXIMUM_RECORDS_PER_PART ||
      bytes + size > MAXIMUM_BYTES_PER_PART;
    if (isFull && current.length > 0) {
      groups.push([record]);
      bytes = size;
      continue;
    }
    current.push(record);
    bytes += size;
  }
  return groups;
}
