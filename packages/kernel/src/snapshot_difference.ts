/**
 * The difference between two routing snapshots. A configuration may have
 * thousands of routes of which a change touches one; entries tell each other
 * what has changed.
 */
import type {
  RoutingSnapshot,
  SnapshotRoute,
  WeightedService,
} from "./routing_snapshot.ts";

export type SnapshotDifference =
  & Pick<RoutingSnapshot, "version" | "services" | "limits">
  & {
    /** Version of the snapshot that the difference applies to. */
    readonly baseVersion: number;
    /** Routes that are new or have changed. */
    readonly routes: readonly SnapshotRoute[];
    /** Names of the routes that are gone. */
    readonly removedRoutes: readonly string[];
  };

/**
 * The difference that makes `next` of `base`; undefined where only the whole
 * snapshot does, because names are ambiguous or routes are in another order.
 */
export function snapshotDifference(
  base: RoutingSnapshot,
  next: RoutingSnapshot,
): SnapshotDifference | undefined {
  const before = routesByName(base);
  const after = routesByName(next);
  if (before === undefined || after === undefined) return undefined;
  const removedRoutes = [...before.keys()].filter((name) => !after.has(name));
  const kept = [...before.keys()].filter((name) => after.has(name));
  const added = [...after.keys()].filter((name) => !before.has(name));
  const order = [...kept, ...added];
  const hasSameOrder = next.routes.every(({ name }, index) =>
    name === order[index]
  );
  if (!hasSameOrder) return undefined;
  const routes = next.routes.filter((route) => {
    const known = before.get(route.name);
    return known === undefined || !isSameRoute(known, route);
  });
  const { version, services, limits } = next;
  return {
    baseVersion: base.version,
    version,
    routes,
    removedRoutes,
    services,
    limits,
  };
}

/** Applies a difference to the snapshot that it was made from. */
export function applySnapshotDifference(
  base: RoutingSnapshot,
  difference: SnapshotDifference,
): RoutingSnapshot {
  const { version, services, limits } = difference;
  const removed = new Set(difference.removedRoutes);
  const changed = new Map(
    difference.routes.map((route) => [route.name, route]),
  );
  const routes: SnapshotRoute[] = [];
  for (const route of base.routes) {
    if (removed.has(route.name)) continue;
    routes.push(changed.get(route.name) ?? route);
    changed.delete(route.name);
  }
  routes.push(...changed.values());
  return { version, routes, services, limits };
}

/** Undefined if two routes have the same name. */
function routesByName(
  { routes }: RoutingSnapshot,
): Map<string, SnapshotRoute> | undefined {
  const byName = new Map(routes.map((route) => [route.name, route]));
  return byName.size === routes.length ? byName : undefined;
}

function isSameRoute(left: SnapshotRoute, right: SnapshotRoute): boolean {
  return left.host === right.host && left.pathPrefix === right.pathPrefix &&
    left.kind === right.kind &&
    left.timeoutMilliseconds === right.timeoutMilliseconds &&
    left.objectiveMilliseconds === right.objectiveMilliseconds &&
    left.priority === right.priority &&
    left.maximumAttempts === right.maximumAttempts &&
    isSameSplit(left.services, right.services);
}

function isSameSplit(
  left: readonly WeightedService[],
  right: readonly WeightedService[],
): boolean {
  return left.length === right.length &&
    left.every(({ service, weight }, index) =>
      service === right[index].service && weight === right[index].weight
    );
}
