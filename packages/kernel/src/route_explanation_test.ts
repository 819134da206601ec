/**
 * Tests that decisions are explained in the order in which a request exchange
 * takes them; a wrong order would name a server that gets no request.
 */
import { expect, it } from "vitest";
import type { PlacementResult } from "./placement.ts";
import { decide, type DecisionInputs } from "./route_explanation.ts";
import type { ServerLoad } from "./server_load.ts";

const server = { registration: { id: "one" } } as ServerLoad;
const PLACED: PlacementResult = {
  kind: "placed",
  placement: { server, expectedMilliseconds: 5, candidateCount: 1 },
};
const INPUTS: DecisionInputs = {
  isStarting: true,
  isLeaving: true,
  isCut: true,
  hasRequestsAhead: true,
  isExpectedInTime: true,
  mayWait: (milliseconds) => milliseconds <= 50,
  result: PLACED,
};

it("what comes first in a request exchange decides", () => {
  const starting = { kind: "refuse", cause: "starting" };
  expect(decide(INPUTS)).toEqual(starting);
  const leaving = { ...INPUTS, isStarting: false };
  expect(decide(leaving)).toEqual({ kind: "refuse", cause: "leaving" });
  const cut = { ...leaving, isLeaving: false };
  expect(decide(cut)).toEqual({ kind: "pass-on" });
  const behind = { ...cut, isCut: false };
  expect(decide(behind)).toEqual({ kind: "queue", cause: "requests-ahead" });
  expect(decide({ ...behind, isExpectedInTime: false }))
    .toEqual({ kind: "refuse", cause: "no-room" });
  expect(decide({ ...behind, hasRequestsAhead: false }))
    .toEqual({ kind: "send", server: "one", expectedMilliseconds: 5 });
});

it.each<[PlacementResult, object]>([
  [{ kind: "none" }, { kind: "refuse", cause: "no-server" }],
  [{ kind: "full" }, { kind: "queue", cause: "full" }],
  [{ kind: "held-back", milliseconds: 50 }, {
    kind: "queue",
    cause: "held-back",
  }],
  [{ kind: "held-back", milliseconds: Infinity }, {
    kind: "refuse",
    cause: "held-back",
    heldBackMilliseconds: null,
  }],
])("a placement that ends with %o", (result, expected) => {
  const inputs = {
    ...INPUTS,
    isStarting: false,
    isLeaving: false,
    isCut: false,
    hasRequestsAhead: false,
  };
  expect(decide({ ...inputs, result })).toEqual(expected);
});
