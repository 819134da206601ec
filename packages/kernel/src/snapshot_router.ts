/**
 * Finds the route of a request and the service that takes it.
 *
 * The parts of a split route take turns by smooth weighted rotation, so that
 * each has its share of any run of requests and not only in the long mean.
 * Each entry starts its rotation at a random phase; many entries together
 * then do not send the same part of the traffic at the same moment.
 */
import type {
  RoutingSnapshot,
  SnapshotRoute,
  SnapshotService,
} from "./routing_snapshot.ts";
import type { RandomSource, ServiceName } from "./types.ts";

/** Turns after which whole percentages repeat. */
const PHASES = 100;

type Rotation = { readonly signature: string; readonly credits: number[] };

export class SnapshotRouter {
  readonly #random: RandomSource;
  #snapshot: RoutingSnapshot | undefined;
  #routesByHost = new Map<string, Map<string, SnapshotRoute>>();
  #services = new Map<ServiceName, SnapshotService>();
  #rotations = new Map<string, Rotation>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  get snapshot(): RoutingSnapshot | undefined {
    return this.#snapshot;
  }

  /** Puts a snapshot in force; returns false if it is not newer. */
  adopt(snapshot: RoutingSnapshot): boolean {
    if (
      this.#snapshot !== undefined && snapshot.version <= this.#snapshot.version
    ) return false;
    this.#snapshot = snapshot;
    this.#routesByHost = indexRoutes(snapshot.routes);
    this.#services = new Map(
      snapshot.services.map((service) => [service.name, service]),
    );
    this.#keepRotations(snapshot.routes);
    return true;
  }

  service(name: ServiceName): SnapshotService | undefined {
    return this.#services.get(name);
  }

  /** The route of the host whose prefix is the longest that begins `path`. */
  match(host: string, path: string): SnapshotRoute | undefined {
    const routes = this.#routesByHost.get(normalizeHost(host));
    if (routes === undefined) return undefined;
    const query = path.indexOf("?");
    const plain = query < 0 ? path : path.slice(0, query);
    let end = plain.lastIndexOf("/");
    while (end >= 0) {
      const route = routes.get(plain.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
      end = plain.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /** The service whose turn it is on a route. */
  nextService(route: SnapshotRoute): ServiceName {
    if (route.services.length === 1) return route.services[0].service;
    const { credits } = this.#rotationOf(route);
    return route.services[takeTurn(route, credits)].service;
  }

  #rotationOf(route: SnapshotRoute): Rotation {
    const signature = signatureOf(route);
    const known = this.#rotations.get(route.name);
    if (known !== undefined && known.signature === signature) return known;
    const rotation = { signature, credits: this.#randomPhase(route) };
    this.#rotations.set(route.name, rotation);
    return rotation;
  }

  /** Credits after a random number of turns. */
  #randomPhase(route: SnapshotRoute): number[] {
    const credits = route.services.map(() => 0);
    const turns = Math.floor(this.#random() * PHASES);
    for (let turn = 0; turn < turns; turn++) takeTurn(route, credits);
    return credits;
  }

  #keepRotations(routes: readonly SnapshotRoute[]): void {
    const kept = new Map<string, Rotation>();
    for (const { name } of routes) {
      const rotation = this.#rotations.get(name);
      if (rotation !== undefined) kept.set(name, rotation);
    }
    this.#rotations = kept;
  }
}

/** Gives the turn to the part with the most credit; returns its index. */
function takeTurn(route: SnapshotRoute, credits: number[]): number {
  let total = 0;
  let best = 0;
  route.services.forEach(({ weight }, index) => {
    credits[index] += weight;
    total += weight;
    if (credits[index] > credits[best]) best = index;
  });
  credits[best] -= total;
  return best;
}

function signatureOf(route: SnapshotRoute): string {
  return route.services.map(({ service, weight }) => `${service}=${weight}`)
    .join(",");
}

function indexRoutes(
  routes: readonly SnapshotRoute[],
): Map<string, Map<string, SnapshotRoute>> {
  const byHost = new Map<string, Map<string, SnapshotRoute>>();
  for (const route of routes) {
    const host = normalizeHost(route.host);
    let prefixes = byHost.get(host);
    if (prefixes === undefined) byHost.set(host, prefixes = new Map());
    prefixes.set(route.pathPrefix, route);
  }
  return byHost;
}

/** Lower case, without a port. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, "");
}
