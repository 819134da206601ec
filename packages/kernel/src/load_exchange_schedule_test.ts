/**
 * Tests that the messages an entry receives do not grow with the fleet.
 */
import { expect, it } from "vitest";
import { loadExchangeInterval } from "./load_exchange_schedule.ts";

function intervalOf(senders: number): number | undefined {
  return loadExchangeInterval({
    senders,
    minimumMilliseconds: 40,
    maximumMilliseconds: 150,
  });
}

it("a small fleet exchanges its load at the shortest interval", () => {
  for (const senders of [0, 1, 3, 5]) expect(intervalOf(senders)).toBe(40);
});

it("an entry receives a bounded number of messages at any size", () => {
  for (let senders = 1; senders <= 600; senders++) {
    const interval = intervalOf(senders);
    if (interval === undefined) continue;
    expect(senders * 1_000 / interval).toBeLessThanOrEqual(125.01);
  }
});

it("messages that would be too old to be of use are not sent", () => {
  expect(intervalOf(18)).toBe(144);
  expect(intervalOf(19)).toBeUndefined();
  expect(intervalOf(260)).toBeUndefined();
});
