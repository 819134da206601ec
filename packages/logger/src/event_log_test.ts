/**
 * Tests that the event log is bounded and never waits for its reader.
 */
import type { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { EventLog } from "./event_log.ts";

function setUp(options: { stalls: boolean }) {
  const time = { now: 0 };
  const lines: Record<string, unknown>[] = [];
  const log = new EventLog({
    clock: () => time.now,
    wallClock: () => 1_700_000_000_000 + time.now,
    linesPerSecond: 10,
    sink: (chunk: Buffer, done) => {
      for (const line of chunk.toString().trim().split("\n")) {
        lines.push(JSON.parse(line));
      }
      if (!options.stalls) done();
    },
  });
  const settle = () => new Promise((resolve) => setImmediate(resolve));
  return { time, lines, log, settle };
}

describe("EventLog", () => {
  it("limits the rate of each event and counts suppressed lines", async () => {
    const { time, lines, log, settle } = setUp({ stalls: false });
    for (let count = 0; count < 100; count++) log.write("late", { count });
    log.write("other", {});
    await settle();
    expect(lines.filter(({ event }) => event === "late")).toHaveLength(10);
    expect(lines.filter(({ event }) => event === "other")).toHaveLength(1);
    time.now = 200;
    log.write("late", {});
    await settle();
    expect(lines.at(-1)?.suppressed).toBe(90);
  });

  it("drops and counts lines while the reader stalls", async () => {
    const { time, lines, log, settle } = setUp({ stalls: true });
    const detail = "x".repeat(1_000);
    for (let count = 0; count < 1_000; count++) {
      time.now += 1_000;
      log.write("event", { detail });
      if (count === 0) await settle();
    }
    expect(lines).toHaveLength(1);
    expect(log.droppedLines).toBeGreaterThan(700);
  });
});
