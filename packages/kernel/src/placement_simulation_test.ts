/**
 * Plays loads at and beyond what the servers can take on the real placement
 * and waiting line, and checks what callers get beside other policies.
 */
import { describe, expect, it } from "vitest";
import {
  type PlacementPolicy,
  type SimulatedLoad,
  simulateService,
} from "./__fixtures__/simulated_service.ts";
import { firstAttemptLimitMilliseconds } from "./placement.ts";

const SEEDS = [1, 2, 3];

/** 15 servers of 6 slots; a third of them is four times slower at a time. */
const NOISY: SimulatedLoad = {
  servers: 15,
  slots: 6,
  entries: 12,
  maximumProbesPerSecond: 100,
  requestsPerSecond: () => 350,
  seconds: 8,
  serviceTimeMilliseconds: 80,
  objectiveMilliseconds: 250,
  deadlineMilliseconds: 1_500,
  slowServerShare: 0.35,
  slowdown: 4,
  meanPhaseMilliseconds: 300,
};

/**
 * All slots at work: 11 servers' worth of speed, above the knee. 9.75 are at
 * full speed and 5.25 at a quarter of it.
 */
const CAPACITY_PER_SECOND = 11.06 * 6 / (1.7 * 0.08);

/** A first attempt is made only where it is expected to be in time. */
const IN_TIME: PlacementPolicy = {
  maximumExpectedMilliseconds: firstAttemptLimitMilliseconds,
  mayPlaceLate: (waiting) => waiting === 0,
};
/** Any room is taken, however slow the server. */
const ANY_ROOM: PlacementPolicy = {
  maximumExpectedMilliseconds: () => Infinity,
  mayPlaceLate: () => false,
};
/** Waits for a server in time, then takes any room. */
const LATE_ROOM: PlacementPolicy = { ...IN_TIME, mayPlaceLate: () => true };

/** Mean share over the seeds. */
function share(
  load: SimulatedLoad,
  policy: PlacementPolicy,
  what: "inTime" | "late" | "refused",
): number {
  const sum = SEEDS.reduce(
    (total, seed) => total + simulateService(load, policy, seed)[what],
    0,
  );
  return sum / SEEDS.length;
}

describe("placing while a third of the servers is slow", () => {
  it("refuses nobody and answers nine of ten in time below capacity", () => {
    expect(share(NOISY, IN_TIME, "refused")).toBeLessThan(0.01);
    expect(share(NOISY, IN_TIME, "inTime")).toBeGreaterThan(0.9);
  });

  it("answers more in time at 1.4 of capacity than taking any room", () => {
    const load = {
      ...NOISY,
      requestsPerSecond: () => 1.4 * CAPACITY_PER_SECOND,
    };
    const inTime = share(load, IN_TIME, "inTime");
    expect(inTime).toBeGreaterThan(share(load, ANY_ROOM, "inTime") + 0.1);
    expect(inTime).toBeGreaterThan(share(load, LATE_ROOM, "inTime") + 0.1);
  });

  it("answers more in time through a burst of 1.8 times", () => {
    const load = {
      ...NOISY,
      requestsPerSecond: (at: number) => at > 2_000 && at < 5_000 ? 630 : 350,
    };
    expect(share(load, IN_TIME, "inTime")).toBeGreaterThan(
      share(load, ANY_ROOM, "inTime"),
    );
  });
});

describe("placing beside stragglers whose reports look well", () => {
  it("loses no more than what they hold at their limit", () => {
    const load = {
      ...NOISY,
      requestsPerSecond: () => 250,
      stragglers: { count: 2, factor: 12 },
    };
    expect(share(load, IN_TIME, "inTime")).toBeGreaterThan(0.9);
  });
});
