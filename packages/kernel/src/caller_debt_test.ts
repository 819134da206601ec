/**
 * Tests which callers count as late.
 */
import { expect, it } from "vitest";
import { CallerDebt } from "./caller_debt.ts";

it("a caller that sends nothing becomes late", () => {
  const debt = new CallerDebt();
  debt.update(true, 500, 1_000);
  debt.update(true, 500, 1_900);
  expect(debt.isLate).toBe(false);
  debt.update(true, 501, 2_100);
  expect(debt.isLate).toBe(true);
  debt.update(false, 501, 2_200);
  expect(debt.isLate).toBe(false);
  debt.update(true, 501, 9_000);
  expect(debt.lateMilliseconds).toBe(0);
});

// Guards against: uploads over thin links that give way to every other caller.
it("a caller on a slow link is not late while it sends", () => {
  const debt = new CallerDebt();
  for (let second = 0; second < 60; second++) {
    debt.update(true, second * 10_000, second * 1_000);
    expect(debt.isLate).toBe(false);
  }
});

it("what was sent early is no excuse for a pause", () => {
  const debt = new CallerDebt();
  debt.update(true, 0, 0);
  debt.update(true, 1_000_000, 100);
  debt.update(true, 1_000_000, 1_200);
  expect(debt.isLate).toBe(true);
});
