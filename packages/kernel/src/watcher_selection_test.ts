/**
 * Tests which entries of a large fleet call the discovery service when all of
 * them have no state, or an old one, at the same moment.
 */
import { describe, expect, it } from "vitest";
import {
  outageBackoffFactor,
  type WatcherInputs,
  watcherReason,
} from "./watcher_selection.ts";

const MEMBERS = Array.from({ length: 313 }, (_, index) => `entry-${index}`);
const WATCHERS = 2;

/** Number of entries that call the service. */
function countCallers(
  inputs: Omit<
    WatcherInputs,
    "self" | "eligible" | "watcherCount" | "isActing"
  >,
): number {
  return MEMBERS.filter((self) =>
    watcherReason({
      ...inputs,
      self,
      eligible: MEMBERS,
      isActing: false,
      watcherCount: WATCHERS,
    }) !== "not-needed"
  ).length;
}

describe("a fleet that starts", () => {
  const at = (uptimeMilliseconds: number) =>
    countCallers({
      hasState: false,
      uptimeMilliseconds,
      stateAgeMilliseconds: Infinity,
      maximumStateAgeMilliseconds: 1_250,
    });

  it("has a few entries read the state, and others only later", () => {
    expect(at(50)).toBe(0);
    expect(at(61)).toBe(WATCHERS + 1);
    expect(at(120)).toBeLessThan(20);
    expect(at(300)).toBe(MEMBERS.length);
  });
});

describe("a fleet whose watchers are silent", () => {
  const at = (stateAgeMilliseconds: number) =>
    countCallers({
      hasState: true,
      uptimeMilliseconds: 60_000,
      stateAgeMilliseconds,
      maximumStateAgeMilliseconds: 1_250,
    });

  it("has the entries take over one after another", () => {
    expect(at(1_200)).toBe(WATCHERS);
    expect(at(1_260)).toBeLessThan(2 * WATCHERS);
    expect(at(1_450)).toBeLessThan(20);
  });

  it("has every entry watch within two seconds", () => {
    expect(at(2_000)).toBe(MEMBERS.length);
  });
});

// Guards against: while the service is down, each entry of a large fleet calls
// it about once a second.
it("only the first entries call a service often that does not answer", () => {
  const eligible = Array.from({ length: 146 }, (_, index) => `entry-${index}`);
  const factors = eligible.map((self) =>
    outageBackoffFactor({ self, eligible, watcherCount: 2 })
  );
  expect(factors.filter((factor) => factor === 1)).toHaveLength(16);
  expect(Math.max(...factors)).toBe(4);
  const few = eligible.slice(0, 12);
  expect(
    few.map((self) =>
      outageBackoffFactor({ self, eligible: few, watcherCount: 2 })
    ),
  ).toEqual(few.map(() => 1));
});
