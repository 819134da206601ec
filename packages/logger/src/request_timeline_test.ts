/**
 * Tests of the request timeline, with lines in the format that entries write.
 */
import { describe, expect, it } from "vitest";
import {
  buildRequestTimeline,
  type LogLine,
  parseLogLine,
} from "./request_timeline.ts";

const PLACEMENT_INPUTS = {
  load: 2,
  slowdown: 4,
  reportAgeMilliseconds: 8,
  expectedMilliseconds: 90,
};

function line(
  seconds: number,
  event: string,
  fields: Record<string, unknown>,
  source = "entry-a",
): LogLine {
  const time = new Date(Date.UTC(2026, 0, 1) + seconds * 1_000).toISOString();
  return { source, time, event, fields };
}

describe("a log line", () => {
  it("takes the prefix of a log collector as its source", () => {
    const text = '{"time":"2026-01-01T00:00:00Z","event":"start","entry":"a"}';
    expect(parseLogLine(text, "a.log")?.source).toBe("a.log");
    expect(parseLogLine(`  1.25 edge-1 ${text}`, "a.log")?.source)
      .toBe("edge-1");
    for (
      const bad of ["", "text", "{", "{}", '{"time":1,"event":"x"}', "[1]"]
    ) {
      expect(parseLogLine(bad, "a.log"), bad).toBeUndefined();
    }
  });
});

describe("the timeline of a request", () => {
  it("holds its lines and state changes of its entries, in order", () => {
    const timeline = buildRequestTimeline("r1", [
      line(9, "request-failed", {
        request: "r1",
        status: 504,
        reason: "time-out",
      }),
      line(8.9, "attempt-failed", {
        request: "r1",
        server: "s1",
        evidence: "timed-out",
        elapsedMilliseconds: 1_000,
        ...PLACEMENT_INPUTS,
      }),
      line(3, "server-changed", { server: "s1", change: "ready" }),
      line(4, "server-changed", { server: "s1", change: "draining" }),
      line(5, "server-changed", { server: "s2", change: "gone" }),
      line(6, "server-changed", { server: "s1", change: "x" }, "entry-b"),
      line(7, "discovery-lost", { reason: "silent" }),
      line(-60, "configuration-adopted", { version: 1 }),
      line(9, "request-late", { request: "r2", suppressed: 7 }),
    ], 0);
    expect(
      timeline.parts.map(({ line: { event, fields } }) =>
        `${event} ${fields.change ?? fields.evidence ?? ""}`.trim()
      ),
    ).toEqual([
      "server-changed draining",
      "discovery-lost",
      "attempt-failed timed-out",
      "request-failed",
    ]);
    expect(timeline.suppressedLines).toBe(7);
    expect(timeline.cause).toContain("Failed with 504: time-out");
    expect(timeline.cause).toContain("server s1, ended after 1000 ms");
    expect(timeline.cause).toContain("slowdown 4 (reported 8 ms before)");
  });

  it("describes the cause of each kind of outcome", () => {
    const cause = (event: string, fields: Record<string, unknown>) =>
      buildRequestTimeline(
        "r",
        [line(1, event, { request: "r", ...fields })],
        0,
      ).cause;
    expect(cause("request-refused", {
      reason: "no-room",
      servers: 4,
      waiting: 9,
    })).toBe(
      "Refused before it ran: no-room; 4 servers of its service known, 9 " +
        "requests waiting.",
    );
    expect(cause("answer-cut", { server: "s", elapsedMilliseconds: 5 }))
      .toContain("Server s broke off its answer after 5 ms");
    expect(cause("caller-left", { elapsedMilliseconds: 5 }))
      .toContain("The caller closed its connection after 5 ms");
    expect(cause("request-late", {
      server: "s",
      elapsedMilliseconds: 300,
      objectiveMilliseconds: 200,
      waitedMilliseconds: 40,
      ...PLACEMENT_INPUTS,
    })).toContain("40 ms of it were spent waiting for room");
    expect(cause("attempt-started", {})).toBe("Answered in time.");
  });

  it("says so when no line names the request", () => {
    const timeline = buildRequestTimeline("r", [line(1, "start", {})], 2);
    expect(timeline.parts).toEqual([]);
    expect(timeline.cause).toContain("No line names the request");
    expect(timeline.unreadableLines).toBe(2);
  });
});
