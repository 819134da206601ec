/**
 * Tests that an entry requests a whole state only if changes stay away.
 */
import { expect, it } from "vitest";
import { MissingRevision, type StateProgress } from "./missing_revision.ts";

let now = 0;

function setUp(): MissingRevision {
  now = 1_000;
  return new MissingRevision(() => now);
}

function at(revision: number, era = 1, snapshotVersion = 3): StateProgress {
  return { era, revision, snapshotVersion };
}

it("an entry without a state requests one at once", () => {
  expect(setUp().mustRequest(at(5), at(0, 0, 0))).toBe(true);
});

it("an entry that is behind waits for changes on their way", () => {
  const missing = setUp();
  expect(missing.mustRequest(at(5), at(4))).toBe(false);
  now += 299;
  expect(missing.mustRequest(at(6), at(4))).toBe(false);
  now += 1;
  expect(missing.mustRequest(at(6), at(4))).toBe(true);
});

it("the wait starts anew for changes after those that arrived", () => {
  const missing = setUp();
  expect(missing.mustRequest(at(5), at(4))).toBe(false);
  now += 400;
  expect(missing.mustRequest(at(6), at(5))).toBe(false);
});

it("a higher revision of an earlier era does not count as arrived", () => {
  const missing = setUp();
  expect(missing.mustRequest(at(5, 2), at(40))).toBe(false);
  now += 300;
  expect(missing.mustRequest(at(6, 2), at(41))).toBe(true);
});

it("an entry requests a newer snapshot than its own at its position", () => {
  const missing = setUp();
  expect(missing.mustRequest(at(5, 2, 4), at(5, 2, 3))).toBe(false);
  now += 300;
  expect(missing.mustRequest(at(5, 2, 4), at(5, 2, 3))).toBe(true);
});
