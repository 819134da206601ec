/**
 * Tests that a difference, applied to the snapshot that it was made from, makes
 * exactly the other one.
 */
import fastCheck from "fast-check";
import { expect, it } from "vitest";
import type { RoutingSnapshot, SnapshotRoute } from "./routing_snapshot.ts";
import {
  applySnapshotDifference,
  snapshotDifference,
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

it("a difference makes the next snapshot, whatever has changed", () => {
  let differences = 0;
  fastCheck.assert(
    fastCheck.property(
      snapshotArbitrary(1),
      snapshotArbitrary(2),
      (base, next) => {
        const difference = snapshotDifference(base, next);
        if (difference === undefined) return;
        differences += 1;
        expect(applySnapshotDifference(base, difference)).toEqual(next);
      },
    ),
    { seed: SEED, numRuns: 5_000 },
  );
  expect(differences).toBeGreaterThan(100);
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
  expect(snapshotDifference(base, next)).toMatchObject({
    baseVersion: 1,
    version: 2,
    routes: [route("c", 1), route("d", 0)],
    removedRoutes: ["b"],
  });
});
