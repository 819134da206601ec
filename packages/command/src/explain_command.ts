/**
 * `marigoldford explain`: the timeline of one request, from log files.
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import {
  buildRequestTimeline,
  type LogLine,
  parseLogLine,
  type RequestTimeline,
  type TimelinePart,
} from "@marigoldford/logger/request_timeline";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

const STANDARD_INPUT_DESCRIPTOR = 0;

type LogContent = { readonly lines: LogLine[]; readonly unreadable: number };

/** Explains a request; without files, reads the log from standard input. */
export function runExplain(
  request: string,
  files: readonly string[],
  output: Output,
): ExitCode {
  const content = readLines(files);
  if (content.isErr()) {
    output.message(content.error);
    return EXIT_CODES.unreachable;
  }
  const { lines, unreadable } = content.value;
  const timeline = buildRequestTimeline(request, lines, unreadable);
  output.result(timeline, () => timelineText(timeline));
  return timeline.parts.length > 0 ? EXIT_CODES.ok : EXIT_CODES.failure;
}

function readLines(files: readonly string[]): Result<LogContent, string> {
  const lines: LogLine[] = [];
  let unreadable = 0;
  const sources: readonly (string | number)[] = files.length > 0
    ? files
    : [STANDARD_INPUT_DESCRIPTOR];
  for (const source of sources) {
    const name = typeof source === "string" ? source : "standard input";
    let text: string;
    try {
      text = readFileSync(source, "utf8");
    } catch (error) {
      return err(`${name}: ${String(error)}; expected a log file`);
    }
    for (const lineText of text.split("\n")) {
      if (lineText.trim() === "") continue;
      const line = parseLogLine(lineText, name);
      if (line === undefined) unreadable += 1;
      else lines.push(line);
    }
  }
  return ok({ lines, unreadable });
}

function timelineText(timeline: RequestTimeline): string {
  const text = [`Request ${timeline.request}`, ...timeline.parts.map(partText)];
  text.push(timeline.cause);
  if (timeline.suppressedLines > 0) {
    text.push(`${timeline.suppressedLines} lines near it were suppressed.`);
  }
  if (timeline.unreadableLines > 0) {
    text.push(`${timeline.unreadableLines} lines are not of an entry's log.`);
  }
  return text.join("\n");
}

function partText({ kind, line }: TimelinePart): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== "request")
    .map(([name, value]) => `${name}=${String(value)}`);
  const suffix = kind === "belief" ? "  (state change)" : "";
  return [line.time, line.source, line.event, ...fields].join(" ") + suffix;
}
