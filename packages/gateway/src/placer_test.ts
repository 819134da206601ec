/**
 * Tests which servers are probed before a request is placed.
 */
import { describe, expect, it } from "vitest";
import type { PlacementResult } from "@marigoldford/kernel/placement";
import type { ServerRegistration } from "@marigoldford/kernel/routing_snapshot";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import type { FailureDomain } from "@marigoldford/kernel/types";
import { Placer, type PlacerOptions } from "./placer.ts";
import type { Prober } from "./prober.ts";

const NOW = 10_000;
const SLOTS = 6;
const MAXIMUM_PROBES = 6;
const OWN: FailureDomain = "north";
const OTHER: FailureDomain = "south";

function makeServer(
  failureDomain: FailureDomain,
  sequence: number,
): ServerLoad {
  const registration: ServerRegistration = {
    id: `${failureDomain}-${sequence}`,
    service: "desk",
    address: `10.0.0.${sequence}:80`,
    failureDomain,
    slots: SLOTS,
    state: "ready",
    warmUpLeftMilliseconds: 0,
    bornAtMilliseconds: 0,
    sequence: 1,
  };
  return new ServerLoad(registration, 0);
}

function makePlacer(
  servers: readonly ServerLoad[],
  probeForRequest: Prober["probeForRequest"],
): Placer {
  return new Placer({
    clock: () => NOW,
    random: () => 0.5,
    failureDomain: OWN,
    costs: {
      crossDomainCost: { roundTripMilliseconds: 3, objectivesPerMegabyte: 25 },
      objectivesPerConnection: 0,
      objectivesPerConnectionInLargeFleet: 0,
    },
    warmUpRateOf: () => 0,
    servers: {
      ofService: () => servers,
      find: () => undefined,
    } as unknown as PlacerOptions["servers"],
    prober: {
      isConnected: () => true,
      probeForRequest,
    } as unknown as PlacerOptions["prober"],
    areReportsExchanged: () => true,
  });
}

function placeAt(placer: Placer): Promise<PlacementResult> {
  return placer.chooseAfterProbing("desk", {
    serviceTimeMilliseconds: 350,
    objectiveMilliseconds: 800,
    answerBytes: 2_000,
    tried: new Set(),
    maximumCrossDomainCostObjectives: Infinity,
    maximumExpectedMilliseconds: 960,
  }, {
    remainingMilliseconds: () => 4_000,
    hasWaited: false,
    mayQueue: true,
  });
}

/** Places a request with no reports at first, and counts the probes. */
async function placeWithProbes(
  runningIn: Readonly<Record<FailureDomain, number>>,
): Promise<{ result: PlacementResult; probed: FailureDomain[] }> {
  const servers = Object.keys(runningIn).flatMap((failureDomain) =>
    Array.from({ length: 20 }, (_, index) => makeServer(failureDomain, index))
  );
  const probed: FailureDomain[] = [];
  const placer = makePlacer(servers, (server) => {
    const { failureDomain } = server.registration;
    probed.push(failureDomain);
    server.recordReport({
      running: runningIn[failureDomain],
      waiting: 0,
      slots: SLOTS,
      slowdown: 1,
    }, NOW);
    return Promise.resolve("answered");
  });
  return { result: await placeAt(placer), probed };
}

describe("probes before a placement", () => {
  it("find room in another failure domain when the own one is full", async () => {
    const { result, probed } = await placeWithProbes({
      [OWN]: SLOTS,
      [OTHER]: 0,
    });
    const domain = result.kind === "placed"
      ? result.placement.server.registration.failureDomain
      : result.kind;
    expect(domain).toBe(OTHER);
    expect(probed.length).toBeLessThanOrEqual(MAXIMUM_PROBES);
  });

  it("stay in the own failure domain while it has room", async () => {
    const { probed } = await placeWithProbes({ [OWN]: 0, [OTHER]: 0 });
    expect(probed).toEqual([OWN]);
  });
});

it("uses servers that cannot be probed, though they were busy long ago", async () => {
  const server = makeServer(OWN, 1);
  const report = { running: SLOTS, waiting: 0, slots: SLOTS, slowdown: 1 };
  server.recordReport(report, NOW - 5_000);
  const placer = makePlacer([server], () => Promise.resolve("unasked"));
  expect(await placeAt(placer)).toMatchObject({ kind: "placed" });
});

it("does not average the reports of a large service to select what to probe", async () => {
  const servers = Array.from(
    { length: 600 },
    (_, index) => makeServer(OWN, index),
  );
  const report = { running: 0, waiting: 0, slots: SLOTS, slowdown: 1 };
  let reads = 0;
  for (const server of servers) {
    server.recordReport(report, NOW);
    const read = () => {
      reads += 1;
      return undefined;
    };
    Object.defineProperty(server, "lastReport", { get: read });
  }
  const placer = makePlacer(servers, () => Promise.resolve("answered"));
  expect(await placeAt(placer)).toMatchObject({ kind: "placed" });
  expect(reads).toBe(0);
});
