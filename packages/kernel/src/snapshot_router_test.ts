/**
 * Tests of routing by host, longest prefix and weight.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { RoutingSnapshot, SnapshotRoute } from "./routing_snapshot.ts";
import { SnapshotRouter } from "./snapshot_router.ts";

function route(fields: Partial<SnapshotRoute>): SnapshotRoute {
  return {
    name: "route",
    host: "shop.example",
    pathPrefix: "/",
    kind: "idempotent",
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 200,
    priority: 0,
    maximumAttempts: 2,
    services: [{ service: "web", weight: 1 }],
    ...fields,
  };
}

function snapshot(
  version: number,
  routes: readonly SnapshotRoute[],
): RoutingSnapshot {
  return {
    version,
    routes,
    services: [{ name: "web", healthPath: "/up", maximumConnections: 10 }],
    limits: {
      maximumHeaderBytes: 1_000,
      maximumBodyBytes: 1_000,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
  };
}

describe("SnapshotRouter", () => {
  it("matches the longest prefix of the host and ignores the query", () => {
    const router = new SnapshotRouter(() => 0);
    router.adopt(snapshot(1, [
      route({ name: "all", pathPrefix: "/a/" }),
      route({ name: "deep", pathPrefix: "/a/b/" }),
      route({ name: "other", host: "other.example", pathPrefix: "/a/b/c/" }),
    ]));
    expect(router.match("shop.example", "/a/b/c/d")?.name).toBe("deep");
    expect(router.match("SHOP.example:80", "/a/x")?.name).toBe("all");
    expect(router.match("shop.example", "/a/x?y=/a/b/")?.name).toBe("all");
    expect(router.match("shop.example", "/a")).toBeUndefined();
    expect(router.match("none.example", "/a/")).toBeUndefined();
  });

  // Guards against: a match that differs from comparing with every prefix.
  it("finds what a comparison with all prefixes finds", () => {
    const segments = fc.constantFrom("", "a", "b", "..", "%2f");
    const pathOf = (parts: readonly string[]) => `/${parts.join("/")}`;
    const prefixOf = (parts: readonly string[]) =>
      parts.length === 0 ? "/" : `${pathOf(parts)}/`;
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.array(segments, { maxLength: 4 }).map(prefixOf)),
        fc.array(segments, { maxLength: 6 }).map(pathOf),
        (prefixes, path) => {
          const router = new SnapshotRouter(() => 0);
          const routes = prefixes.map((pathPrefix) =>
            route({ name: pathPrefix, pathPrefix })
          );
          router.adopt(snapshot(1, routes));
          const expected = prefixes.filter((prefix) => path.startsWith(prefix))
            .toSorted((left, right) => right.length - left.length)[0];
          expect(router.match("shop.example", path)?.name).toBe(expected);
        },
      ),
      { seed: 1 },
    );
  });

  it("never goes back to an older version", () => {
    const router = new SnapshotRouter(() => 0);
    expect(router.adopt(snapshot(5, [route({ name: "new" })]))).toBe(true);
    expect(router.adopt(snapshot(4, []))).toBe(false);
    expect(router.adopt(snapshot(5, []))).toBe(false);
    expect(router.match("shop.example", "/")?.name).toBe("new");
  });

  it("gives each service its share of any short sequence", () => {
    const split = route({
      services: [{ service: "web", weight: 90 }, {
        service: "next",
        weight: 10,
      }],
    });
    for (const phase of [0, 0.3, 0.6, 0.95, 0.99]) {
      const router = new SnapshotRouter(() => phase);
      router.adopt(snapshot(1, [split]));
      let next = 0;
      for (let count = 1; count <= 200; count++) {
        if (router.nextService(split) === "next") next += 1;
        expect(Math.abs(next - count / 10)).toBeLessThanOrEqual(1.01);
      }
    }
  });

  it("keeps the shares over many entries with few requests each", () => {
    const split = route({
      services: [{ service: "web", weight: 60 }, {
        service: "next",
        weight: 40,
      }],
    });
    // A golden ratio sequence spreads the starts evenly over the rotation.
    let drawn = 0;
    const random = () => (drawn = (drawn + 0.618034) % 1);
    let next = 0;
    for (let entry = 0; entry < 100; entry++) {
      const router = new SnapshotRouter(random);
      router.adopt(snapshot(1, [split]));
      for (let count = 0; count < 3; count++) {
        if (router.nextService(split) === "next") next += 1;
      }
    }
    expect(next).toBeGreaterThan(105);
    expect(next).toBeLessThan(135);
  });
});
