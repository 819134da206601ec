/**
 * Tests of the selection of a backend server.
 */
import { describe, expect, it } from "vitest";
import { makeRegistration } from "./__fixtures__/registration.ts";
import { needsLoadProbe } from "./load_probe.ts";
import {
  limitOfHighestThroughput,
  limitWithQueue,
  place,
  type PlacementContext,
  type PlacementRequest,
} from "./placement.ts";
import { ServerLoad } from "./server_load.ts";
import { ServerRestrictions } from "./server_restrictions.ts";

const NOW = 1_000;
const REQUEST: PlacementRequest = {
  serviceTimeMilliseconds: 80,
  objectiveMilliseconds: 250,
  answerBytes: 2_000,
  tried: new Set(),
  maximumCrossDomainCostObjectives: Infinity,
  maximumExpectedMilliseconds: Infinity,
};
const CONTEXT: PlacementContext = {
  now: NOW,
  random: () => 0,
  ownFailureDomain: "a",
  crossDomainCost: { roundTripMilliseconds: 3, objectivesPerMegabyte: 25 },
  connectionCost: { connectionsToOpen: () => 0, objectivesPerConnection: 0 },
  staleEstimate: "mean",
  assumedOccupancy: () => 0,
  concurrencyLimit: limitWithQueue,
};

type ServerOptions = {
  id: string;
  failureDomain?: string;
  running?: number;
  waiting?: number;
  slowdown?: number;
  slots?: number;
  reportAt?: number;
  warmUpLeftMilliseconds?: number;
};

function server(options: ServerOptions): ServerLoad {
  const slots = options.slots ?? 6;
  const load = new ServerLoad(
    makeRegistration({
      id: options.id,
      failureDomain: options.failureDomain ?? "a",
      slots,
      warmUpLeftMilliseconds: options.warmUpLeftMilliseconds ?? 0,
    }),
    0,
  );
  load.recordReport({
    running: options.running ?? 0,
    waiting: options.waiting ?? 0,
    slots,
    slowdown: options.slowdown ?? 1,
  }, options.reportAt ?? NOW);
  return load;
}

function chosen(
  servers: readonly ServerLoad[],
  request: Partial<PlacementRequest> = {},
): string {
  const result = place(servers, { ...REQUEST, ...request }, CONTEXT);
  return result.kind === "placed"
    ? result.placement.server.registration.id
    : result.kind;
}

describe("place", () => {
  it("prefers a busy server of usual speed to an idle slow one", () => {
    expect(chosen([
      server({ id: "slow", slowdown: 4 }),
      server({ id: "busy", running: 2 }),
    ])).toBe("busy");
  });

  it("does not load a server beyond its knee if another has capacity", () => {
    expect(chosen([
      server({ id: "nearly-full", running: 4 }),
      server({ id: "other", running: 3, failureDomain: "b" }),
    ])).toBe("other");
  });

  it("leaves the failure domain for a small answer but not a large one", () => {
    const servers = [
      server({ id: "near", slowdown: 2 }),
      server({ id: "far", failureDomain: "b" }),
    ];
    expect(chosen(servers)).toBe("far");
    expect(chosen(servers, { answerBytes: 90_000 })).toBe("near");
  });

  it("does not leave the failure domain if that costs too much", () => {
    const far = [server({ id: "far", failureDomain: "b" })];
    const large = { answerBytes: 90_000 };
    expect(chosen(far, large)).toBe("far");
    expect(chosen(far, { ...large, maximumCrossDomainCostObjectives: 0.5 }))
      .toBe("full");
    expect(chosen(far, { maximumCrossDomainCostObjectives: 0.5 })).toBe("far");
  });

  it("avoids a cold server and one that failed", () => {
    const failed = server({ id: "failed" });
    failed.recordOutcome("failed", NOW);
    const cold = server({ id: "cold", warmUpLeftMilliseconds: 3_000 });
    expect(chosen([failed, cold, server({ id: "good" })]))
      .toBe("good");
  });

  it("distinguishes full servers from no servers", () => {
    expect(chosen([])).toBe("none");
    expect(chosen([server({ id: "full", running: 6, waiting: 2 })])).toBe(
      "full",
    );
    expect(chosen([server({ id: "tried" })], { tried: new Set(["tried"]) }))
      .toBe("none");
  });

  it("distinguishes late capacity from no capacity", () => {
    const slow = [server({ id: "slow", slowdown: 4 })];
    expect(chosen(slow, { maximumExpectedMilliseconds: 250 })).toBe("late");
    expect(chosen(slow, { maximumExpectedMilliseconds: 350 })).toBe("slow");
    const full = server({ id: "full", running: 6, waiting: 2 });
    expect(chosen([full, ...slow], { maximumExpectedMilliseconds: 250 })).toBe(
      "late",
    );
    expect(chosen([full], { maximumExpectedMilliseconds: 250 })).toBe("full");
  });

  it("does not send a request to a server of unknown load while others are busy", () => {
    const stale = server({ id: "stale", reportAt: NOW - 1_000 });
    const placeBeside = (occupancy: number) =>
      place([stale], REQUEST, {
        ...CONTEXT,
        assumedOccupancy: () => occupancy,
      }).kind;
    expect(placeBeside(0.5)).toBe("unknown");
    expect(placeBeside(0.1)).toBe("placed");
  });

  it("uses servers that report no load", () => {
    const silent = new ServerLoad(makeRegistration({ id: "silent" }), 0);
    silent.recordMissingReport();
    const result = place([silent], REQUEST, {
      ...CONTEXT,
      assumedOccupancy: () => 0.7,
    });
    expect(result.kind).toBe("placed");
  });

  it("uses a blocked server only if there is no other", () => {
    const blocked = server({ id: "blocked" });
    for (let call = 0; call < 3; call++) blocked.recordOutcome("failed", NOW);
    expect(blocked.isBlocked(NOW)).toBe(true);
    expect(chosen([blocked, server({ id: "slow", slowdown: 4 })])).toBe("slow");
    expect(chosen([blocked])).toBe("blocked");
  });
});

describe("the cost of connections", () => {
  const connectionCost = {
    connectionsToOpen: ({ registration }: ServerLoad) =>
      registration.id === "connected" ? 0 : 1,
    objectivesPerConnection: 0.1,
  };

  function placeWith(slowdown: number): string | undefined {
    const servers = [
      server({ id: "other", slowdown: 1 }),
      server({ id: "connected", slowdown }),
    ];
    const result = place(servers, REQUEST, { ...CONTEXT, connectionCost });
    if (result.kind !== "placed") return undefined;
    return result.placement.server.registration.id;
  }

  it("prefers a connected server among equally fast ones", () => {
    expect(placeWith(1)).toBe("connected");
  });

  it("does not prefer a connected server that is slow", () => {
    expect(placeWith(4)).toBe("other");
  });
});

describe("limitOfHighestThroughput", () => {
  it("is the load with the highest throughput", () => {
    expect([1, 2, 3, 6, 10].map(limitOfHighestThroughput)).toEqual([
      1,
      2,
      2,
      4,
      8,
    ]);
  });

  it("is the knee for as many slots as a registration may have", () => {
    expect(limitOfHighestThroughput(1_000_000)).toBe(800_000);
  });
});

describe("ServerLoad", () => {
  it("adds attempts sent since a report, and counts of peers later", () => {
    const load = server({ id: "one", running: 1 });
    load.recordStart({});
    load.recordPeerInFlight("peer", 3, NOW);
    expect(load.load(NOW + 10)).toBe(2);
    expect(load.load(NOW + 100)).toBe(4);
    expect(load.load(NOW + 5_000)).toBe(1);
  });

  it("decays the slowdown of a stale report", () => {
    const load = server({ id: "one", slowdown: 4 });
    expect(load.slowdown(NOW, 1.8)).toBe(4);
    expect(load.slowdown(NOW + 2_000, 1.8)).toBeCloseTo(1.8, 1);
  });
});

describe("needsLoadProbe", () => {
  it("probes only for an old report, with time and probes left", () => {
    const view = {
      reportAgeMilliseconds: 100,
      mayReport: true,
      probesSent: 0,
      maximumProbes: 6,
      remainingMilliseconds: 500,
    };
    expect(needsLoadProbe(view)).toBe(true);
    expect(needsLoadProbe({ ...view, mayReport: false })).toBe(false);
    expect(needsLoadProbe({ ...view, reportAgeMilliseconds: 3 }))
      .toBe(false);
    expect(needsLoadProbe({ ...view, probesSent: 6 })).toBe(false);
    expect(needsLoadProbe({ ...view, remainingMilliseconds: 10 }))
      .toBe(false);
  });
});

describe("servers that say that they leave", () => {
  // Guards against: a request waits for a full server, or is refused, while a
  // server that leaves still has room.
  it("get a request only if no other server has room", () => {
    const leaving = makeLeaving("leaving");
    const idle = server({ id: "idle", slowdown: 3 });
    const full = server({ id: "full", running: 6, waiting: 1 });
    expect(chosenOf([leaving, idle])).toBe("idle");
    expect(chosenOf([leaving, full])).toBe("leaving");
    expect(chosenOf([leaving])).toBe("leaving");
  });

  it("get none later than their time of use", () => {
    const servers = [makeLeaving("leaving", NOW - LEAVING_USE_MILLISECONDS)];
    expect(place(servers, REQUEST, CONTEXT)).toEqual({
      kind: "held-back",
      milliseconds: Infinity,
    });
  });

  const LEAVING_USE_MILLISECONDS = 500;

  function makeLeaving(id: string, since = NOW): ServerLoad {
    const restrictions = new ServerRestrictions(
      undefined,
      0,
      LEAVING_USE_MILLISECONDS,
    );
    restrictions.recordLeaving(since);
    return new ServerLoad(makeRegistration({ id, slots: 6 }), 0, restrictions);
  }

  function chosenOf(servers: readonly ServerLoad[]): string | undefined {
    const result = place(servers, REQUEST, CONTEXT);
    return result.kind === "placed"
      ? result.placement.server.registration.id
      : undefined;
  }
});
