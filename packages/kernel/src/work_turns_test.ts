/**
 * Tests how long callers wait for their turn.
 */
import { expect, it } from "vitest";
import { WorkTurns } from "./work_turns.ts";

it("work waits until what was taken before it has been earned", () => {
  let now = 0;
  const turns = new WorkTurns({
    clock: () => now,
    unitsPerSecond: 1_000,
    savedUnits: 500,
  });
  expect(turns.take(500)).toBe(0);
  expect(turns.take(100)).toBe(100);
  expect(turns.take(100)).toBe(200);
  now = 250;
  expect(turns.take(0)).toBe(0);
  now = 10_000;
  expect(turns.take(500)).toBe(0);
  expect(turns.take(1)).toBe(1);
});
