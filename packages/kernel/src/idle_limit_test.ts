/**
 * Tests that the limit falls below the idle time of dropped connections and
 * recovers when no more are dropped.
 */
import { expect, it } from "vitest";
import { IdleLimit } from "./idle_limit.ts";

const MAXIMUM_MILLISECONDS = 4_000;

function makeLimit() {
  let now = 0;
  const limit = new IdleLimit({
    clock: () => now,
    maximumMilliseconds: MAXIMUM_MILLISECONDS,
  });
  return { limit, advance: (milliseconds: number) => now += milliseconds };
}

it("connections stay idle up to the maximum while none is dropped", () => {
  expect(makeLimit().limit.milliseconds).toBe(MAXIMUM_MILLISECONDS);
});

it("the limit falls below each idle time that was too long", () => {
  const { limit } = makeLimit();
  limit.recordDropped(1_000);
  expect(limit.milliseconds).toBe(700);
  limit.recordDropped(600);
  expect(limit.milliseconds).toBe(420);
  limit.recordDropped(3_000);
  expect(limit.milliseconds).toBe(420);
});

it("a reset right after the last answer closes no busy pool", () => {
  const { limit } = makeLimit();
  limit.recordDropped(1);
  expect(limit.milliseconds).toBe(100);
});

it("the limit recovers when no more connections are dropped", () => {
  const { limit, advance } = makeLimit();
  limit.recordDropped(1_000);
  advance(10_000);
  expect(limit.milliseconds).toBe(1_400);
  advance(60_000);
  expect(limit.milliseconds).toBe(MAXIMUM_MILLISECONDS);
});
