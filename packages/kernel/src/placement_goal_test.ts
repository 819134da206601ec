/**
 * Tests what requests ask of their servers, by the time that they have left.
 */
import { expect, it } from "vitest";
import { placementGoal, type PlacementGoalInputs } from "./placement_goal.ts";

const INPUTS: PlacementGoalInputs = {
  reason: "first",
  serviceTimeMilliseconds: 100,
  remainingObjectiveMilliseconds: 300,
  remainingMilliseconds: 2_000,
  hasWaited: false,
  hasWaitedMaximum: false,
};

it("a request that can be in time waits for a server that is", () => {
  expect(placementGoal(INPUTS)).toEqual({
    maximumExpectedMilliseconds: 360,
    slotUse: "usual",
  });
});

// Guards against: requests of a route whose work takes longer than its
// objective are refused while servers are idle.
it("a request that is late in any case is sent if its deadline allows it", () => {
  for (const remainingObjectiveMilliseconds of [80, 0, -500]) {
    const late = { ...INPUTS, remainingObjectiveMilliseconds };
    expect(placementGoal(late))
      .toEqual({ maximumExpectedMilliseconds: 2_000, slotUse: "usual" });
    expect(placementGoal({ ...late, hasWaited: true }))
      .toEqual({ maximumExpectedMilliseconds: 2_000, slotUse: "spare" });
  }
});

it("a request that has waited for its maximum takes any server in time for its caller", () => {
  expect(placementGoal({ ...INPUTS, hasWaitedMaximum: true })).toEqual({
    maximumExpectedMilliseconds: 2_000,
    slotUse: "usual",
  });
});

it("a second attempt takes what is left", () => {
  expect(placementGoal({ ...INPUTS, reason: "hedge" })).toEqual({
    maximumExpectedMilliseconds: Infinity,
    slotUse: "usual",
  });
});
