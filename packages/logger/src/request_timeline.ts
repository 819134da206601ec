/**
 * Gathers from the logs of several entries what happened to one request, and
 * what the entries believed at that time.
 *
 * Lines are JSON objects as `EventLog` writes them. What stands before the
 * first brace of a line, such as the name that a collector puts there, is kept
 * as its source. Other lines are counted and passed over.
 */

/** One line of a log. */
export type LogLine = {
  /** Name of the file or what stood before the line. */
  readonly source: string;
  readonly time: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
};

/** Why a line is part of the story. */
export type TimelinePart = {
  readonly kind: "request" | "belief";
  readonly line: LogLine;
};

export type RequestTimeline = {
  readonly request: string;
  /** In order of time. */
  readonly parts: readonly TimelinePart[];
  /** What the lines say of the cause, in a sentence; see `causeOf`. */
  readonly cause: string;
  readonly unreadableLines: number;
  /** Lines that the entries left out, by their own count, near the request. */
  readonly suppressedLines: number;
};

/** Changes of belief this long before the first line belong to the story. */
const BELIEF_MILLISECONDS = 10_000;
/** Changes of what an entry believes of everything, not of one server. */
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

/** Reads one line; undefined if it is not a line of an entry's log. */
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

/** Tells the story of a request; it has no parts if no line names it. */
export function buildRequestTimeline(
  request: string,
  lines: readonly LogLine[],
  unreadableLines: number,
): RequestTimeline {
  const own = lines.filter(({ fields }) => fields.request === request);
  const beliefs = own.length === 0 ? [] : beliefsAround(own, lines);
  const parts: TimelinePart[] = [
    ...own.map((line) => ({ kind: "request" as const, line })),
    ...beliefs.map((line) => ({ kind: "belief" as const, line })),
  ];
  parts.sort((left, right) => timeOf(left.line) - timeOf(right.line));
  return {
    request,
    parts,
    cause: describeCause(own),
    unreadableLines,
    suppressedLines: suppressedNear(own, lines),
  };
}

function timeOf({ time }: LogLine): number {
  return Date.parse(time);
}

/** Time from shortly before the first line to the last one. */
function spanOf(own: readonly LogLine[]): { from: number; to: number } {
  const times = own.map(timeOf);
  return {
    from: Math.min(...times) - BELIEF_MILLISECONDS,
    to: Math.max(...times),
  };
}

/** The last change of each belief that the entries of the request held. */
function beliefsAround(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): LogLine[] {
  const { from, to } = spanOf(own);
  const sources = new Set(own.map(({ source }) => source));
  const servers = new Set(own.map(({ fields }) => fields.server));
  const last = new Map<string, LogLine>();
  for (const line of lines) {
    const at = timeOf(line);
    if (at < from || at > to || !sources.has(line.source)) continue;
    const isOfServer = SERVER_EVENTS.has(line.event) &&
      servers.has(line.fields.server);
    if (!isOfServer && !ENTRY_EVENTS.has(line.event)) continue;
    const key = `${line.source} ${line.event} ${line.fields.server ?? ""}`;
    const known = last.get(key);
    if (known === undefined || timeOf(known) <= at) last.set(key, line);
  }
  return [...last.values()];
}

function suppressedNear(
  own: readonly LogLine[],
  lines: readonly LogLine[],
): number {
  if (own.length === 0) return 0;
  const { from, to } = spanOf(own);
  const sources = new Set(own.map(({ source }) => source));
  return lines.reduce((sum, line) => {
    const at = timeOf(line);
    const isNear = at >= from && at <= to && sources.has(line.source);
    return sum + (isNear ? Number(line.fields.suppressed ?? 0) : 0);
  }, 0);
}

/** Names the cause that the request's own lines show. */
export function describeCause(own: readonly LogLine[]): string {
  const of = (event: string) => own.findLast((line) => line.event === event);
  const attempt = of("attempt-failed");
  const refused = of("request-refused");
  if (refused !== undefined) {
    const { reason, servers, waiting } = refused.fields;
    return `Refused before it ran: ${reason}; ${servers} servers of its ` +
      `service known, ${waiting} requests waiting.` + afterAttempt(attempt);
  }
  const failed = of("request-failed");
  if (failed !== undefined) {
    return `Failed with ${failed.fields.status}: ${failed.fields.reason}.` +
      afterAttempt(attempt);
  }
  const cut = of("answer-cut");
  if (cut !== undefined) {
    return `Server ${cut.fields.server} broke off its answer after ` +
      `${cut.fields.elapsedMilliseconds} ms, when part of it was delivered.`;
  }
  const left = of("caller-left");
  if (left !== undefined) {
    return `The caller closed its connection after ` +
      `${left.fields.elapsedMilliseconds} ms.` + afterAttempt(attempt);
  }
  const late = of("request-late");
  if (late !== undefined) return describeLate(late);
  return own.length === 0
    ? "No line names the request: it was answered in time by its first " +
      "server, or its lines were suppressed."
    : "Answered in time." + afterAttempt(attempt);
}

function afterAttempt(attempt: LogLine | undefined): string {
  if (attempt === undefined) return "";
  const { server, evidence, detail, elapsedMilliseconds } = attempt.fields;
  const what = detail === undefined ? evidence : `${evidence} (${detail})`;
  return ` Its last attempt, at server ${server}, ended after ` +
    `${elapsedMilliseconds} ms: ${what}.${describeBelief(attempt)}`;
}

function describeLate(late: LogLine): string {
  const { server, elapsedMilliseconds, objectiveMilliseconds } = late.fields;
  const waited = late.fields.waitedMilliseconds ?? 0;
  return `Answered by server ${server} after ${elapsedMilliseconds} ms, ` +
    `objective ${objectiveMilliseconds} ms; ${waited} ms of it were spent ` +
    `waiting for room.${describeBelief(late)}`;
}

/** What was believed of the server when it was chosen. */
function describeBelief({ fields }: LogLine): string {
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
