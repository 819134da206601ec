/**
 * Simulates a burst on a large fleet, whose entries each have few requests and
 * exchange no counts, and checks that service recovers when it is over.
 */
import { describe, expect, it } from "vitest";
import {
  type PlacementPolicy,
  type SimulatedLoad,
  simulateService,
} from "./__fixtures__/simulated_service.ts";
import { limitWithQueue } from "./placement.ts";
import { firstAttemptLimitMilliseconds } from "./placement_goal.ts";

const BURST_START_SECOND = 2;
const BURST_END_SECOND = 5;
const RECOVERED_SECOND = 10;
/** Requests of the last second may have no answer before the end. */
const LAST_WHOLE_SECOND = 13;

function isBurst(at: number): boolean {
  const second = at / 1_000;
  return second >= BURST_START_SECOND && second < BURST_END_SECOND;
}

const LARGE_FLEET: SimulatedLoad = {
  servers: 49,
  slots: 6,
  entries: 64,
  maximumProbesPerSecond: 24,
  requestsPerSecond: (at) => isBurst(at) ? 590 : 350,
  seconds: LAST_WHOLE_SECOND + 1,
  serviceTimeMilliseconds: 350,
  objectiveMilliseconds: 800,
  deadlineMilliseconds: 8_000,
  slowServerShare: 0.3,
  slowdown: 4,
  meanPhaseMilliseconds: 300,
  isSpeedKept: true,
  areCountsExchanged: false,
  serverQueueLength: 12,
  retryShare: 0.2,
  callerRetries: { maximum: 2, delayMilliseconds: 500 },
};

const POLICY: PlacementPolicy = {
  maximumExpectedMilliseconds: firstAttemptLimitMilliseconds,
  mayPlaceLate: (queueLength) => queueLength === 0,
  concurrencyLimit: limitWithQueue,
};

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe("a large fleet after a burst", () => {
  it("serves as many in time as before it", () => {
    for (const seed of [1, 2]) {
      const { inTimeBySecond } = simulateService(LARGE_FLEET, POLICY, seed);
      const before = mean(inTimeBySecond.slice(0, BURST_START_SECOND));
      const after = mean(
        inTimeBySecond.slice(RECOVERED_SECOND, LAST_WHOLE_SECOND),
      );
      expect(after).toBeGreaterThan(0.95 * before);
    }
  });
});
