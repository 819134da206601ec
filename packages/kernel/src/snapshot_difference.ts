/**
 * The difference between routing snapshots. A configuration may have thousands
 * of routes of which a change touches one; entries tell each other what has
 * changed.
 *
 * Entries follow the configuration by several ways, so that they pass through
 * different versions. A difference therefore holds every route that was touched
 * in the last few versions, and applies to each of them.
 */
import type {
  RoutingSnapshot,
  SnapshotRoute,
  WeightedService,
} from "./routing_snapshot.ts";

export type SnapshotDifference =
  & Pick<RoutingSnapshot, "version" | "services" | "limits">
  & {
    /** Versions of the snapshots that the difference applies to. */
    readonly baseVersions: readonly number[];
    /** Routes that were touched since the first of them and still exist. */
    readonly routes: readonly SnapshotRoute[];
    /** Names of the touched routes that are gone. */
    readonly removedRoutes: readonly string[];
  };

type Step = {
  readonly baseVersion: number;
  /** Names of the routes that the next version added, changed or removed. */
  readonly touched: readonly string[];
};

/** Versions that a difference applies to at most. */
const MAXIMUM_STEPS = 32;
/** Older versions are left out of a difference with more routes. */
const MAXIMUM_ROUTES = 64;

/** Successive snapshots, for differences between them and the last one. */
export class SnapshotHistory {
  #last: RoutingSnapshot | undefined;
  #steps: Step[] = [];

  /** Adds a snapshot unless it is older than the last one. */
  add(snapshot: RoutingSnapshot): void {
    const base = this.#last;
    if (base !== undefined && base.version >= snapshot.version) return;
    this.#last = snapshot;
    const step = base === undefined ? undefined : stepBetween(base, snapshot);
    if (base === undefined || step === undefined) {
      this.#steps = [];
      return;
    }
    // A route that comes back has another place among the routes.
    const known = new Set(base.routes.map(({ name }) => name));
    const added = new Set(step.touched.filter((name) => !known.has(name)));
    const hasComeBack = this.#steps.some(({ touched }) =>
      touched.some((name) => added.has(name))
    );
    this.#steps = [...(hasComeBack ? [] : this.#steps), step]
      .slice(-MAXIMUM_STEPS);
  }

  /** The difference to the last snapshot, if one tells less than all of it. */
  difference(): SnapshotDifference | undefined {
    const last = this.#last;
    if (last === undefined || this.#steps.length === 0) return undefined;
    const touched = new Set<string>();
    const baseVersions: number[] = [];
    for (const step of this.#steps.toReversed()) {
      const isLarge = touched.size + step.touched.length > MAXIMUM_ROUTES;
      if (baseVersions.length > 0 && isLarge) break;
      baseVersions.push(step.baseVersion);
      for (const name of step.touched) touched.add(name);
    }
    const routes = last.routes.filter(({ name }) => touched.has(name));
    for (const { name } of routes) touched.delete(name);
    const { version, services, limits } = last;
    return {
      baseVersions,
      version,
      routes,
      removedRoutes: [...touched],
      services,
      limits,
    };
  }
}

/** Applies a difference to a snapshot of one of its base versions. */
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

/**
 * What leads from one snapshot to the next; undefined where only the whole
 * snapshot does, because names are ambiguous or routes are in another order.
 */
function stepBetween(
  base: RoutingSnapshot,
  next: RoutingSnapshot,
): Step | undefined {
  const before = routesByName(base);
  const after = routesByName(next);
  if (before === undefined || after === undefined) return undefined;
  const removed = [...before.keys()].filter((name) => !after.has(name));
  const kept = [...before.keys()].filter((name) => after.has(name));
  const added = [...after.keys()].filter((name) => !before.has(name));
  const order = [...kept, ...added];
  const hasSameOrder = next.routes.every(({ name }, index) =>
    name === order[index]
  );
  if (!hasSameOrder) return undefined;
  const changed = next.routes.filter((route) => {
    const known = before.get(route.name);
    return known === undefined || !isSameRoute(known, route);
  }).map(({ name }) => name);
  return { baseVersion: base.version, touched: [...removed, ...changed] };
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
