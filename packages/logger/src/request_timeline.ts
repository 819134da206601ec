/**
 * Reconstructs from the logs of several entries what happened to one request
 * and in which state the entries were at that time.
 *
 * Lines are JSON objects as `EventLog` writes them. The last word before the
 * first brace of a line, such as a name that a log collector puts there, is
 * kept as its source. Other lines are counted and skipped.
 */

/** One line of a log. */
export type LogLine = {
  /** The name before the JSON object, or else the name of the file. */
  readonly source: string;
  readonly time: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** A line of the request itself, or a change of an entry's state. */
export type TimelinePart = {
  readonly kind: "request" | "belief";
  readonly line: LogLine;
};

export type RequestTimeline = {
  readonly request: string;
  /** In chronological order. */
  readonly parts: readonly TimelinePart[];
  /** The cause of the outcome, in a sentence; see `describeCause`. */
  readonly cause: string;
  readonly unreadableLines: number;
  /** Lines near the request that the rate limits of the entries suppressed. */
  readonly suppressedLines: number;
};

/** State changes this long before the request's first line are included. */
const CONTEXT_MILLISECONDS = 10_000;
/** Changes of an entry's state that do not concern a single server. */
const ENTRY_EVENTS = new Set([
  "configuration-adopted",
  "discovery-lost",
  "discovery-regained",
  "pause-noticed",
  "stop-requested",
  "ready",
  "start",
]);
const SERVER_EVENTS = new Set(["server-changed", "crash-suspected"]);

/** Parses one line; undefined if it is not a line of an entry's log. */
export function parseLogLine(text: string, file: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  const { time, event, ...fields } = value as Record<string, unknown>;
  if (typeof time !== "string" || typeof event !== "string") return undefined;
  const prefix = text.slice(0, start).trim().split(/\s+/).at(-1);
  return { source: prefix || file, time, event, fields };
}

/** Builds the timeline of a request; empty if no line names the request. */
export function buildRequestTimeline(
  request: string,
  lines: readonly LogLine[],
  unreadableLines: number,
): RequestTimeline {
  const own = lines.filter(({ fields }) => fields.request === request);
  const contextLines = own.length === 0 ? [] : lastStateChanges(own, lines);
  const parts: TimelinePart[] = [
    ...own.map((line) => ({ kind: "request" as const, line })),
    ...contextLines.map((line) => ({ kind: "belief" as const, line })),
  ];
  parts.sort((left, right) => timestampOf(left.line) - timestampOf(right.line));
  return {
    request,
    parts,
    cause: describeCause(own),
    unreadableLines,
    suppressedLines: suppressedNear(own, lines),
  };
}

function timestampOf({ time }: LogLine): number {
  return Date.parse(time);
}

/** From shortly before the first line of the request to the last one. */
function timeWindowOf(own: readonly LogLine[]): { from: number; to: number } {
  const times = own.map(timestampOf);
  return {
    from: Math.min(...times) - CONTEXT_MILLISECONDS,
    to: Math.max(...times),
  };
}

/** The last change of each state at the entries that handled the request. */
function lastStateChanges(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): LogLine[] {
  const { from, to } = timeWindowOf(own);
  const sources = new Set(own.map(({ source }) => source));
  const servers = new Set(own.map(({ fields }) => fields.server));
  const last = new Map<string, LogLine>();
  for (const line of lines) {
    const at = timestampOf(line);
    if (at < from || at > to || !sources.has(line.source)) continue;
    const isOfServer = SERVER_EVENTS.has(line.event) &&
      servers.has(line.fields.server);
    if (!isOfServer && !ENTRY_EVENTS.has(line.event)) continue;
    const key = `${line.source} ${line.event} ${line.fields.server ?? ""}`;
    const known = last.get(key);
    if (known === undefined || timestampOf(known) <= at) last.set(key, line);
  }
  return [...last.values()];
}

function suppressedNear(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): number {
  if (own.length === 0) return 0;
  const { from, to } = timeWindowOf(own);
  const sources = new Set(own.map(({ source }) => source));
  return lines.reduce((sum, line) => {
    const at = timestampOf(line);
    const isNear = at >= from && at <= to && sources.has(line.source);
    return sum + (isNear ? Number(line.fields.suppressed ?? 0) : 0);
  }, 0);
}

/** Describes the cause of the outcome from the request's own lines. */
export function describeCause(own: readonly LogLine[]): string {
  const lastLineOf = (event: string) =>
    own.findLast((line) => line.event === event);
  const attempt = lastLineOf("attempt-failed");
  const refused = lastLineOf("request-refused");
  if (refused !== undefined) {
    const { reason, servers, waiting } = refused.fields;
    return `Refused before it ran: ${reason}; ${servers} servers of its ` +
      `service known, ${waiting} requests waiting.` +
      describeLastAttempt(attempt);
  }
  const failed = lastLineOf("request-failed");
  if (failed !== undefined) {
    return `Failed with ${failed.fields.status}: ${failed.fields.reason}.` +
      describeLastAttempt(attempt);
  }
  const aborted = lastLineOf("answer-cut");
  if (aborted !== undefined) {
    return `Server ${aborted.fields.server} broke off its answer after ` +
      `${aborted.fields.elapsedMilliseconds} ms, when part of it was delivered.`;
  }
  const left = lastLineOf("caller-left");
  if (left !== undefined) {
    return `The caller closed its connection after ` +
      `${left.fields.elapsedMilliseconds} ms.` + describeLastAttempt(attempt);
  }
  const late = lastLineOf("request-late");
  if (late !== undefined) return describeLate(late);
  return own.length === 0
    ? "No line names the request: it was answered in time by its first " +
      "server, or its lines were suppressed."
    : "Answered in time." + describeLastAttempt(attempt);
}

function describeLastAttempt(attempt: LogLine | undefined): string {
  if (attempt === undefined) return "";
  const { server, evidence, detail, elapsedMilliseconds } = attempt.fields;
  const what = detail === undefined ? evidence : `${evidence} (${detail})`;
  return ` Its last attempt, at server ${server}, ended after ` +
    `${elapsedMilliseconds} ms: ${what}.${describeServerState(attempt)}`;
}

function describeLate(late: LogLine): string {
  const { server, elapsedMilliseconds, objectiveMilliseconds } = late.fields;
  const waited = late.fields.waitedMilliseconds ?? 0;
  return `Answered by server ${server} after ${elapsedMilliseconds} ms, ` +
    `objective ${objectiveMilliseconds} ms; ${waited} ms of it were spent ` +
    `waiting for room.${describeServerState(late)}`;
}

/** What the entry knew of the server when it chose it. */
function describeServerState({ fields }: LogLine): string {
  const { load, slowdown, reportAgeMilliseconds, expectedMilliseconds } =
    fields;
  if (load === undefined) return "";
  const age = reportAgeMilliseconds === undefined
    ? "never reported"
    : `reported ${reportAgeMilliseconds} ms before`;
  return ` When it was chosen it had ${load} requests, slowdown ` +
    `${slowdown ?? "unknown"} (${age}); ${expectedMilliseconds} ms were ` +
    "expected.";
}
