/**
 * Tests how callers that come back are told from others by their deadlines.
 */
import { expect, it } from "vitest";
import { RouteEstimates } from "./route_estimates.ts";

function makeEstimates(): RouteEstimates {
  return new RouteEstimates({ objectiveMilliseconds: 800, isDownload: false });
}

it("one odd deadline makes no caller after it count as one that comes back", () => {
  for (const odd of [60_000, 1e12, Infinity]) {
    const estimates = makeEstimates();
    estimates.recordCallerTimeout(8_000);
    estimates.recordCallerTimeout(odd);
    expect(estimates.recordCallerTimeout(8_000)).toBe(0);
    expect(estimates.recordCallerTimeout(6_800)).toBeGreaterThan(1_100);
  }
});

it("follows a usual deadline that becomes longer", () => {
  const estimates = makeEstimates();
  estimates.recordCallerTimeout(2_000);
  for (let count = 0; count < 50; count++) estimates.recordCallerTimeout(8_000);
  expect(estimates.recordCallerTimeout(6_800)).toBeGreaterThan(1_100);
});
