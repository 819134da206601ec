/**
 * Checks that the fleet exceeds its retry budget in no sliding window, with
 * every entry retrying as often as it may.
 */
import { describe, expect, it } from "vitest";
import { FleetRetryBudget } from "./fleet_budget.ts";

const WINDOW_MILLISECONDS = 10_000;
const SHARE = 0.2;
const ALLOWANCE = 56;
const STEP_MILLISECONDS = 10;

function maximumInWindow(times: readonly number[], end: number): number {
  let maximum = 0;
  for (let at = 0; at + WINDOW_MILLISECONDS <= end; at += 100) {
    const within = times.filter((time) =>
      time >= at && time < at + WINDOW_MILLISECONDS
    );
    maximum = Math.max(maximum, within.length);
  }
  return maximum;
}

describe("FleetRetryBudget", () => {
  for (const entries of [1, 12, 18]) {
    for (const requestsPerSecond of [0, 30, 300]) {
      it(`holds with ${entries} entries and ${requestsPerSecond}/s`, () => {
        let now = 0;
        const budgets = Array.from(
          { length: entries },
          () =>
            new FleetRetryBudget({
              clock: () => now,
              share: SHARE,
              allowance: ALLOWANCE,
              windowMilliseconds: WINDOW_MILLISECONDS,
              memberCount: () => entries,
            }),
        );
        const retries: number[] = [];
        const end = 40_000;
        let due = 0;
        let next = 0;
        for (; now < end; now += STEP_MILLISECONDS) {
          due += requestsPerSecond * STEP_MILLISECONDS / 1_000;
          for (; due >= 1; due -= 1) {
            budgets[next++ % entries].recordRequest();
          }
          for (const budget of budgets) {
            while (budget.trySpend()) retries.push(now);
          }
        }
        const bound = SHARE * requestsPerSecond * WINDOW_MILLISECONDS / 1_000 +
          ALLOWANCE;
        expect(maximumInWindow(retries, end)).toBeLessThanOrEqual(bound);
      });
    }
  }
});
