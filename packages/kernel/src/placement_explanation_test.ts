/**
 * Tests that an explanation names the server that `place` selects, and that
 * making one changes no later placement.
 */
import fc from "fast-check";
import { expect, it } from "vitest";
import { makeRegistration } from "./__fixtures__/registration.ts";
import {
  limitWithQueue,
  place,
  type PlacementContext,
  type PlacementRequest,
} from "./placement.ts";
import { explainPlacement } from "./placement_explanation.ts";
import { ServerLoad } from "./server_load.ts";
import {
  type RequestLimit,
  ServerRestrictions,
} from "./server_restrictions.ts";

const NOW = 10_000;
const SLOTS = 4;

/** What an entry knows of a server; each field restricts its use or its rank. */
const serverState = fc.record({
  running: fc.integer({ min: 0, max: SLOTS + 1 }),
  slowdown: fc.constantFrom(1, 1, 1.02, 4),
  reportAge: fc.constantFrom(0, 10, 100, 400, undefined),
  isFar: fc.boolean(),
  isCold: fc.boolean(),
  outcome: fc.constantFrom("answered", "answered", "failed", "refused"),
  pause: fc.constantFrom(0, 0, 0, 300),
  limit: fc.constantFrom<RequestLimit[]>("none", "none", 2, 50),
  leavingFor: fc.constantFrom(undefined, undefined, 100, 5_000),
});
type ServerState = typeof serverState extends fc.Arbitrary<infer State> ? State
  : never;

function makeServer(state: ServerState, index: number): ServerLoad {
  const restrictions = new ServerRestrictions((limit) => limit, 0, 1_000);
  restrictions.recordPause(state.pause, NOW);
  restrictions.recordStatement({ requestLimit: state.limit }, NOW - 100);
  if (state.leavingFor !== undefined) {
    restrictions.recordLeaving(NOW - state.leavingFor);
  }
  const registration = makeRegistration({
    id: `server-${index}`,
    failureDomain: state.isFar ? "b" : "a",
    slots: SLOTS,
    warmUpLeftMilliseconds: state.isCold ? NOW + 1_000 : 0,
  });
  const server = new ServerLoad(registration, 0, restrictions);
  const { running, slowdown, reportAge } = state;
  if (reportAge !== undefined) {
    const report = { running, waiting: 0, slots: SLOTS, slowdown };
    server.recordReport(report, NOW - reportAge);
  }
  server.recordOutcome(state.outcome, NOW - 10);
  return server;
}

function makeContext(
  random: () => number,
  occupancy: number,
): PlacementContext {
  return {
    now: NOW,
    random,
    ownFailureDomain: "a",
    crossDomainCost: { roundTripMilliseconds: 3, objectivesPerMegabyte: 25 },
    connectionCost: { connectionsToOpen: () => 0, objectivesPerConnection: 0 },
    staleEstimate: "mean",
    assumedOccupancy: () => occupancy,
    concurrencyLimit: limitWithQueue,
  };
}

const REQUEST: PlacementRequest = {
  serviceTimeMilliseconds: 80,
  objectiveMilliseconds: 250,
  answerBytes: 2_000,
  tried: new Set(["server-1"]),
  maximumCrossDomainCostObjectives: Infinity,
  maximumExpectedMilliseconds: 300,
};

const drawnCase = fc.record({
  states: fc.array(serverState, { maxLength: 8 }),
  occupancy: fc.constantFrom(0, 0.3, 0.6),
  randoms: fc.array(fc.double({ min: 0, max: 0.999, noNaN: true }), {
    minLength: 8,
    maxLength: 8,
  }),
});

it("the explanation lists first the server that place selects", () => {
  const kinds = new Map<string, number>();
  fc.assert(
    fc.property(drawnCase, ({ states, occupancy, randoms }) => {
      const servers = states.map(makeServer);
      const steady = makeContext(() => 0, occupancy);
      const before = place(servers, REQUEST, steady);
      const { result, candidates } = explainPlacement(
        servers,
        REQUEST,
        steady,
      );
      kinds.set(result.kind, (kinds.get(result.kind) ?? 0) + 1);
      expect(result).toEqual(before);
      expect(candidates).toHaveLength(servers.length);
      const selectable = candidates
        .filter(({ verdict }) => verdict === "selectable")
        .map(({ server }) => server);
      if (result.kind !== "placed") {
        expect(selectable).toEqual([]);
        return;
      }
      expect(candidates[0].server).toBe(result.placement.server);
      expect(selectable[0]).toBe(result.placement.server);
      let turn = 0;
      const drawn = place(
        servers,
        REQUEST,
        makeContext(() => randoms[turn++], occupancy),
      );
      if (drawn.kind !== "placed") throw new Error(`not placed: ${drawn.kind}`);
      expect(selectable).toContain(drawn.placement.server);
      expect(place(servers, REQUEST, steady)).toEqual(before);
    }),
    { numRuns: 3_000 },
  );
  // Drawn cases that are all alike would show nothing.
  expect([...kinds.keys()].sort()).toEqual(
    ["full", "held-back", "late", "none", "placed", "unknown"],
  );
});

it("each next candidate is the one that place selects without those before", () => {
  fc.assert(
    fc.property(drawnCase, ({ states, occupancy }) => {
      const servers = states.map(makeServer);
      const context = makeContext(() => 0, occupancy);
      const { candidates } = explainPlacement(servers, REQUEST, context);
      const tried = new Set(REQUEST.tried);
      for (const { server, verdict } of candidates) {
        if (verdict !== "selectable" && verdict !== "usable") break;
        const result = place(servers, { ...REQUEST, tried }, context);
        if (result.kind !== "placed") throw new Error(result.kind);
        expect(result.placement.server).toBe(server);
        tried.add(server.registration.id);
      }
    }),
    { numRuns: 1_000 },
  );
});
