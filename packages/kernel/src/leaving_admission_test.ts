/**
 * Tests which requests an entry accepts while it is leaving.
 */
import { expect, it } from "vitest";
import { isAcceptedWhileLeaving } from "./leaving_admission.ts";

const EXIT_MILLISECONDS = 9_500;

function isAccepted(at: number, timeLimit: number, objective = 250): boolean {
  return isAcceptedWhileLeaving({
    leavingMilliseconds: at,
    untilExitMilliseconds: EXIT_MILLISECONDS - at,
    timeLimitMilliseconds: timeLimit,
    objectiveMilliseconds: objective,
  });
}

it("a request that ends before the exit in any case is accepted", () => {
  expect(isAccepted(7_900, 1_500)).toBe(true);
  expect(isAccepted(8_000, 1_500)).toBe(false);
});

it("a long deadline is accepted only while callers do not know", () => {
  expect(isAccepted(2_900, 20_000, 2_000)).toBe(true);
  expect(isAccepted(3_100, 20_000, 2_000)).toBe(false);
});

it("a request that may well outlast the entry is refused at once", () => {
  expect(isAccepted(100, 20_000, 4_000)).toBe(false);
});
