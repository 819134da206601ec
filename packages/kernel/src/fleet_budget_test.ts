/**
 * Checks the shared retry budget over sliding windows, with all entries
 * retrying as much as they may.
 */
import { describe, expect, it } from "vitest";
import { FleetRetryBudget } from "./fleet_budget.ts";

const WINDOW_MILLISECONDS = 10_000;
const SHARE = 0.2;
const ALLOWANCE = 56;
const STEP_MILLISECONDS = 10;

function mostInWindow(times: readonly number[], end: number): number {
  let most = 0;
  for (let at = 0; at + WINDOW_MILLISECONDS <= end; at += 100) {
    const within = times.filter((time) =>
      time >= at && time < at + WINDOW_MILLISECONDS
    );
    most = Math.max(most, within.length);
  }
  return most;
}

describe("FleetBudget", () => {
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
        let owed = 0;
        let turn = 0;
        for (; now < end; now += STEP_MILLISECONDS) {
          owed += requestsPerSecond * STEP_MILLISECONDS / 1_000;
          for (; owed >= 1; owed -= 1) {
            budgets[turn++ % entries].recordRequest();
          }
          for (const budget of budgets) {
            while (budget.trySpend()) retries.push(now);
          }
        }
        const bound = SHARE * requestsPerSecond * WINDOW_MILLISECONDS / 1_000 +
          ALLOWANCE;
        expect(mostInWindow(retries, end)).toBeLessThanOrEqual(bound);
      });
    }
  }
});
