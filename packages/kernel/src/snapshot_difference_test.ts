/**
 * Tests that a difference, applied to the snapshot that it was made from, makes
 * exactly the other one.
 */
import fastCheck from "fast-check";
import { expect, it } from "vitest";
import type { RoutingSnapshot, SnapshotRoute } from "./routing_snapshot.ts";
import {
  applySnapshotDifference,
  SnapshotHistory,
} from "./snapshot_difference.ts";

const SEED = 20_261_205;

const routeArbitrary: fastCheck.Arbitrary<SnapshotRoute> = fastCheck.record({
  name: fastCheck.constantFrom("a", "b", "c", "d", "e", "f"),
  host: fastCheck.constantFrom("one.example", "two.example"),
  pathPrefix: fastCheck.constantFrom("/", "/a/"),
  kind: fastCheck.constantFrom("idempotent", "at-most-once", "download"),
  timeoutMilliseconds: fastCheck.constantFrom(100, 200),
  objectiveMilliseconds: fastCheck.constantFrom(10, 20),
  priority: fastCheck.constantFrom(0, 1),
  maximumAttempts: fastCheck.constantFrom(1, 2),
  services: fastCheck.array(
    fastCheck.record({
      service: fastCheck.constantFrom("x", "y"),
      weight: fastCheck.constantFrom(1, 2),
    }),
    { minLength: 1, maxLength: 3 },
  ),
});

function snapshotArbitrary(version: number) {
  return fastCheck.record({
    version: fastCheck.constant(version),
    routes: fastCheck.array(routeArbitrary, { maxLength: 7 }),
    services: fastCheck.array(fastCheck.record({
      name: fastCheck.constantFrom("x", "y"),
      healthPath: fastCheck.constant("/up"),
      maximumConnections: fastCheck.constantFrom(1, 2),
    })),
    limits: fastCheck.record({
      maximumHeaderBytes: fastCheck.constantFrom(1, 2),
      maximumBodyBytes: fastCheck.constant(1),
      headerTimeoutMilliseconds: fastCheck.constant(1),
      idleTimeoutMilliseconds: fastCheck.constant(1),
    }),
  }) as fastCheck.Arbitrary<RoutingSnapshot>;
}

it("a difference makes the last snapshot of each that it applies to", () => {
  let applied = 0;
  fastCheck.assert(
    fastCheck.property(
      fastCheck.tuple(
        ...[1, 2, 3, 4].map((version) => snapshotArbitrary(version)),
      ),
      (snapshots) => {
        const history = new SnapshotHistory();
        for (const snapshot of snapshots) history.add(snapshot);
        const difference = history.difference();
        for (const base of snapshots) {
          if (!difference?.baseVersions.includes(base.version)) continue;
          applied += 1;
          expect(applySnapshotDifference(base, difference))
            .toEqual(snapshots.at(-1));
        }
      },
    ),
    { seed: SEED, numRuns: 5_000 },
  );
  expect(applied).toBeGreaterThan(100);
});

it("a difference holds only the routes that have changed", () => {
  const route = (name: string, priority: number): SnapshotRoute => ({
    name,
    host: "shop.example",
    pathPrefix: `/${name}/`,
    kind: "idempotent",
    timeoutMilliseconds: 100,
    objectiveMilliseconds: 10,
    priority,
    maximumAttempts: 1,
    services: [{ service: "web", weight: 1 }],
  });
  const limits = {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  };
  const routes = [route("a", 0), route("b", 0), route("c", 0)];
  const base = { version: 1, routes, services: [], limits };
  const next = {
    ...base,
    version: 2,
    routes: [route("a", 0), route("c", 1), route("d", 0)],
  };
  const last = {
    ...base,
    version: 3,
    routes: [route("a", 0), route("c", 2), route("d", 0)],
  };
  const history = new SnapshotHistory();
  for (const snapshot of [base, next, base, last]) history.add(snapshot);
  expect(history.difference()).toMatchObject({
    baseVersions: [2, 1],
    version: 3,
    routes: [route("c", 2), route("d", 0)],
    removedRoutes: ["b"],
  });
});

it("a difference applies to the last version only where an earlier one touched many routes", () => {
  const routes = (priority: number): SnapshotRoute[] =>
    Array.from({ length: 1_600 }, (_, index) => ({
      name: `route-${index}`,
      host: "shop.example",
      pathPrefix: `/${index}/`,
      kind: "idempotent",
      timeoutMilliseconds: 100,
      objectiveMilliseconds: 10,
      priority,
      maximumAttempts: 1,
      services: [{ service: "web", weight: 1 }],
    }));
  const limits = {
    maximumHeaderBytes: 1,
    maximumBodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  };
  const history = new SnapshotHistory();
  const common = { services: [], limits };
  const all = routes(1);
  history.add({ ...common, version: 1, routes: routes(0) });
  history.add({ ...common, version: 2, routes: all });
  history.add({
    ...common,
    version: 3,
    routes: all.with(5, { ...all[5], priority: 7 }),
  });
  expect(history.difference()?.baseVersions).toEqual([2]);
  expect(history.difference()?.routes).toHaveLength(1);
});
