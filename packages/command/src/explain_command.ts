/**
 * `marigoldford explain`: the story of one request from log files.
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

/** Descriptor of standard input. */
const STANDARD_INPUT = 0;

type Read = { readonly lines: LogLine[]; readonly unreadable: number };

/** Explains a request; without files the log is read from standard input. */
export function runExplain(
  request: string,
  files: readonly string[],
  output: Output,
): ExitCode {
  const read = readLines(files);
  if (read.isErr()) {
    output.message(read.error);
    return EXIT_CODES.unreachable;
  }
  const { lines, unreadable } = read.value;
  const story = buildRequestTimeline(request, lines, unreadable);
  output.result(story, () => storyText(story));
  return story.parts.length > 0 ? EXIT_CODES.ok : EXIT_CODES.failure;
}

function readLines(files: readonly string[]): Result<Read, string> {
  const lines: LogLine[] = [];
  let unreadable = 0;
  const sources: readonly (string | number)[] = files.length > 0
    ? files
    : [STANDARD_INPUT];
  for (const source of sources) {
    const name = typeof source === "string" ? source : "standard input";
    let text: string;
    try {
      text = readFileSync(source, "utf8");
    } catch (error) {
      return err(`${name}: ${String(error)}; expected a log file`);
    }
    for (const each of text.split("\n")) {
      if (each.trim() === "") continue;
      const line = parseLogLine(each, name);
      if (line === undefined) unreadable += 1;
      else lines.push(line);
    }
  }
  return ok({ lines, unreadable });
}

function storyText(story: RequestTimeline): string {
  const text = [`Request ${story.request}`, ...story.parts.map(partText)];
  text.push(story.cause);
  if (story.suppressedLines > 0) {
    text.push(`${story.suppressedLines} lines near it were suppressed.`);
  }
  if (story.unreadableLines > 0) {
    text.push(`${story.unreadableLines} lines are not of an entry's log.`);
  }
  return text.join("\n");
}

function partText({ kind, line }: TimelinePart): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== "request")
    .map(([name, value]) => `${name}=${String(value)}`);
  const mark = kind === "belief" ? "  (belief)" : "";
  return [line.time, line.source, line.event, ...fields].join(" ") + mark;
}
