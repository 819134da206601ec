/**
 * Tests the load that is assumed of servers without a recent report.
 */
import { expect, it } from "vitest";
import { makeRegistration } from "./__fixtures__/registration.ts";
import { reportedOccupancy } from "./reported_occupancy.ts";
import { ServerLoad } from "./server_load.ts";

const NOW = 10_000;

function makeServer(
  failureDomain: string,
  running: number,
  ageMilliseconds: number,
): ServerLoad {
  const id = `${failureDomain}-${running}-${ageMilliseconds}`;
  const server = new ServerLoad(
    makeRegistration({ id, failureDomain, slots: 6 }),
    0,
  );
  const report = { running, waiting: 0, slots: 6, slowdown: 1 };
  server.recordReport(report, NOW - ageMilliseconds);
  return server;
}

it("takes a service for idle without a report", () => {
  const unheard = new ServerLoad(makeRegistration(), 0);
  expect(reportedOccupancy([unheard], NOW)("a")).toBe(0);
});

it("weighs recent reports more", () => {
  const servers = [makeServer("a", 6, 0), makeServer("a", 0, 2_000)];
  expect(reportedOccupancy(servers, NOW)("a")).toBeGreaterThan(0.9);
});

it("does not assume the load of reports that are long out of date", () => {
  const servers = [makeServer("a", 6, 5_000), makeServer("a", 6, 60_000)];
  expect(reportedOccupancy(servers, NOW)("a")).toBe(0);
});

it("does not take a failure domain for as busy as another one", () => {
  const servers = [0, 10, 20].flatMap((age) => [
    makeServer("busy", 6, age),
    makeServer("idle", 1, age),
  ]);
  const occupancyOf = reportedOccupancy(servers, NOW);
  expect(occupancyOf("busy")).toBeGreaterThan(0.8);
  expect(occupancyOf("idle")).toBeLessThan(0.4);
  expect(occupancyOf("unheard")).toBeCloseTo(3.5 / 6, 1);
});
