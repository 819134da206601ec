/**
 * Checks the attempts of a request, as specified and in variants that must
 * each yield a counterexample.
 */
import { describe, expect, it } from "vitest";
import { checkAttempts } from "./attempt_check.ts";

describe("the attempts of a request", () => {
  for (const report of checkAttempts()) {
    const { model, variant, property, expectsCounterexample } = report;
    const verb = expectsCounterexample ? "breaks" : "keeps";
    it(`(${model}), ${variant}: ${verb} "${property}"`, () => {
      expect(report.states).toBeGreaterThan(20);
      expect(report.counterexample !== undefined, `${report.counterexample}`)
        .toBe(expectsCounterexample);
    });
  }
});
