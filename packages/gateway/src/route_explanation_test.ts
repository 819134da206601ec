/**
 * Tests that explaining a route changes nothing: no request sent, no turn of a
 * split, no new state.
 */
import { expect, it } from "vitest";
import { ServerReach } from "@marigoldford/kernel/server_reach";
import type { RoutingSnapshot } from "@marigoldford/kernel/routing_snapshot";
import { ServerLoad } from "@marigoldford/kernel/server_load";
import { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import { Placer, type PlacerOptions } from "./placer.ts";
import { explanationAnswer, makeRouteExplainer } from "./route_explanation.ts";
import { ServiceStates } from "./service_states.ts";

const NOW = 5_000;
const ROUTE = {
  name: "shop",
  host: "shop.example",
  pathPrefix: "/read/",
  kind: "idempotent" as const,
  timeoutMilliseconds: 1_000,
  objectiveMilliseconds: 200,
  priority: 1,
  maximumAttempts: 2,
  services: [{ service: "old", weight: 3 }, { service: "new", weight: 1 }],
};
const SNAPSHOT = {
  version: 7,
  routes: [
    ROUTE,
    ...Array.from({ length: 30 }, (_, index) => ({
      ...ROUTE,
      name: `host-${index}`,
      host: `host-${index}.example`,
    })),
  ],
  services: [],
  limits: {},
} as unknown as RoutingSnapshot;

function makeServer(id: string, service: string, failureDomain: string) {
  return new ServerLoad({
    id,
    service,
    address: "10.0.0.1:80",
    failureDomain,
    slots: 4,
    state: "ready",
    warmUpLeftMilliseconds: 0,
    bornAtMilliseconds: 0,
    sequence: 1,
  }, 0);
}

function makeEntry() {
  const clock = () => NOW;
  const router = new SnapshotRouter(() => 0);
  router.adopt(SNAPSHOT);
  const all = [
    makeServer("old-1", "old", "north"),
    makeServer("new-1", "new", "north"),
    makeServer("out", "new", "south"),
  ];
  const used = all.filter(({ registration }) => registration.id !== "out");
  const servers = {
    ofService: (service: string) =>
      used.filter(({ registration }) => registration.service === service),
    find: (id: string) =>
      used.find(({ registration }) => registration.id === id),
  } as unknown as PlacerOptions["servers"];
  let probes = 0;
  const placer = new Placer({
    clock,
    random: () => 0.5,
    failureDomain: "north",
    costs: {
      crossDomainCost: { roundTripMilliseconds: 3, objectivesPerMegabyte: 25 },
      objectivesPerConnection: 0,
      objectivesPerConnectionInLargeFleet: 0,
    },
    servers: { ...servers, find: () => undefined } as never,
    areReportsExchanged: () => true,
    warmUpRateOf: () => 0,
    prober: {
      isConnected: () => true,
      probeForRequest: () => probes++,
    } as never,
  });
  const services = new ServiceStates({
    clock,
    bounds: {} as never,
    memberCount: () => 1,
  });
  const records = new Map(
    all.map(({ registration }) => [registration.id, { registration }]),
  );
  const explain = makeRouteExplainer(
    {
      clock,
      router,
      servers,
      placer,
      services,
      reach: new ServerReach(clock),
      isReady: () => true,
      isAccepting: () => true,
    },
    { isUsable: true, state: { records } } as never,
    { instance: { name: "entry-0" } } as never,
    (failureDomain) => failureDomain === "south",
  );
  const page = (query: string) => {
    const answer = explanationAnswer(explain, new URLSearchParams(query));
    return { status: answer.status, body: JSON.parse(answer.text ?? "") };
  };
  return { router, services, page, probeCount: () => probes };
}

it("explaining turns no split, probes nothing and makes no state", () => {
  const explained = makeEntry();
  const untouched = makeEntry();
  const turns = ({ router }: ReturnType<typeof makeEntry>) =>
    Array.from({ length: 8 }, () => {
      explained.page("host=shop.example&path=/read/x");
      return router.nextService(ROUTE);
    });
  expect(turns(explained)).toEqual(turns(untouched));
  expect(explained.probeCount()).toBe(0);
  expect(explained.services.findQueue("old")).toBeUndefined();
  const { services } = explained;
  expect(services.peekEstimatesOf(ROUTE)).not.toBe(
    services.peekEstimatesOf(ROUTE),
  );
});

it("each part of a split is explained, with servers that are not used", () => {
  const { status, body } = makeEntry().page(
    "host=SHOP.example:80&path=/read/x&method=POST",
  );
  expect(status).toBe(200);
  expect(body).toMatchObject({
    method: "POST",
    configurationVersion: 7,
    route: { name: "shop" },
    services: [
      {
        service: "old",
        share: 0.75,
        decision: { kind: "send", server: "old-1" },
        probeFirst: { server: "old-1", reportAgeMilliseconds: null },
      },
      {
        service: "new",
        share: 0.25,
        decision: { kind: "send", server: "new-1" },
        candidates: [
          { server: "new-1", verdict: "selectable" },
          { server: "out", verdict: "not-used", restrictions: ["evacuated"] },
        ],
      },
    ],
  });
});

it("an unknown host or path is told with at most 20 known ones", () => {
  const { page } = makeEntry();
  const host = page("host=other.example&path=/read/x");
  expect(host.status).toBe(404);
  expect(host.body).toMatchObject({ error: "unknown-host", knownCount: 31 });
  expect(host.body.known).toHaveLength(20);
  const path = page("host=shop.example&path=/reads/x");
  expect(path.status).toBe(404);
  expect(path.body).toMatchObject({
    error: "unknown-path",
    given: "/reads/x",
    known: ["/read/"],
  });
  expect(page("host=shop.example").status).toBe(400);
});
