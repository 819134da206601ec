/**
 * Tests that an entry requests a whole state only if changes stay away.
 */
import { expect, it } from "vitest";
import { MissingRevision } from "./missing_revision.ts";

let now = 0;

function setUp(): MissingRevision {
  now = 1_000;
  return new MissingRevision(() => now);
}

it("an entry without a state requests one at once", () => {
  expect(setUp().mustRequest(5, 0)).toBe(true);
});

it("an entry that is behind waits for changes on their way", () => {
  const missing = setUp();
  expect(missing.mustRequest(5, 4)).toBe(false);
  now += 299;
  expect(missing.mustRequest(6, 4)).toBe(false);
  now += 1;
  expect(missing.mustRequest(6, 4)).toBe(true);
});

it("the wait starts anew for changes after those that arrived", () => {
  const missing = setUp();
  expect(missing.mustRequest(5, 4)).toBe(false);
  now += 400;
  expect(missing.mustRequest(6, 5)).toBe(false);
});
