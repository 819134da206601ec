/**
 * The pages under `/marigoldford/`: entries for callers, status and metrics
 * for operators.
 */
import type { RandomSource } from "@marigoldford/kernel/types";
import type { OperatorPage } from "./call_server.ts";
import { describeEntries } from "./entries_page.ts";
import { describeStatus, type StatusSources } from "./status_page.ts";

export type OperatorPageSources = StatusSources & {
  readonly random: RandomSource;
  /** How long callers may cache the list of entries. */
  readonly answerValidMilliseconds: number;
  readonly callsInProgress: () => number;
};

const JSON_TYPE = "application/json";
const METRICS_TYPE = "text/plain; version=0.0.4";
const INDENT_SPACES = 2;

/** The pages by their path under the prefix. */
export function makeOperatorPages(
  sources: OperatorPageSources,
): Map<string, OperatorPage> {
  return new Map([
    ["entries", { contentType: JSON_TYPE, text: () => entriesText(sources) }],
    ["status", { contentType: JSON_TYPE, text: () => statusText(sources) }],
    ["metrics", {
      contentType: METRICS_TYPE,
      text: () => sources.metrics.text(gaugesOf(sources)),
    }],
  ]);
}

function entriesText(sources: OperatorPageSources): string {
  return JSON.stringify(describeEntries({
    serving: sources.directory.servingEntries(),
    self: sources.incarnation,
    ownKeyPrefix: () => sources.protectedCallTable.keyPrefix(),
    validMilliseconds: sources.answerValidMilliseconds,
    random: sources.random,
  }));
}

function statusText(sources: OperatorPageSources): string {
  const status = describeStatus(sources);
  return JSON.stringify(status, undefined, INDENT_SPACES) + "\n";
}

function gaugesOf(sources: OperatorPageSources): Map<string, number> {
  return new Map([
    ["calls_in_progress", sources.callsInProgress()],
    ["protected_keys", sources.protectedCallTable.keyCount],
    ["protected_bytes", sources.protectedCallTable.bytes],
    ["intentions", sources.intentions.store.size],
    ["refused_rows", sources.intentions.refusedRows().length],
    ["peers_alive", sources.directory.liveEntries().length],
    ["platform_reads", sources.platformReads()],
  ]);
}
