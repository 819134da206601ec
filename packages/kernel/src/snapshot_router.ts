/**
 * Finds the route of a request and the service that receives it.
 *
 * Routes with several services use smooth weighted round-robin, so that each
 * service gets its share of any sequence of requests and not only the mean over
 * a long time. Each entry starts at a random position in the rotation;
 * otherwise many entries would send to the same service at the same time.
 */
import type {
  RoutingSnapshot,
  SnapshotRoute,
  SnapshotService,
} from "./routing_snapshot.ts";
import type { RandomSource, ServiceName } from "./types.ts";

/** A rotation of whole percentages repeats after this many turns. */
const ROTATION_TURNS = 100;

/**
 * Routes by the segments of their prefixes, each of which ends with a slash. A
 * look-up goes no deeper than the longest prefix, however long the path is.
 */
type RouteNode = {
  readonly children: Map<string, RouteNode>;
  route?: SnapshotRoute;
};

type Rotation = { readonly signature: string; readonly credits: number[] };

export class SnapshotRouter {
  readonly #random: RandomSource;
  #snapshot: RoutingSnapshot | undefined;
  #routesByHost = new Map<string, RouteNode>();
  #services = new Map<ServiceName, SnapshotService>();
  #rotations = new Map<string, Rotation>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  get snapshot(): RoutingSnapshot | undefined {
    return this.#snapshot;
  }

  /**
   * Replaces the current snapshot; returns false if the new one is not newer.
   */
  adopt(snapshot: RoutingSnapshot): boolean {
    if (
      this.#snapshot !== undefined && snapshot.version <= this.#snapshot.version
    ) return false;
    this.#snapshot = snapshot;
    this.#routesByHost = indexRoutes(snapshot.routes);
    this.#services = new Map(
      snapshot.services.map((service) => [service.name, service]),
    );
    this.#retainRotations(snapshot.routes);
    return true;
  }

  service(name: ServiceName): SnapshotService | undefined {
    return this.#services.get(name);
  }

  /** The route of the host with the longest prefix of `path`. */
  match(host: string, path: string): SnapshotRoute | undefined {
    let node = this.#routesByHost.get(normalizeHost(host));
    const query = path.indexOf("?");
    const pathEnd = query < 0 ? path.length : query;
    let longest: SnapshotRoute | undefined;
    let start = 0;
    while (node !== undefined) {
      const end = path.indexOf("/", start);
      if (end < 0 || end >= pathEnd) break;
      node = node.children.get(path.slice(start, end));
      longest = node?.route ?? longest;
      start = end + 1;
    }
    return longest;
  }

  /** The next service in the rotation of a route. */
  nextService(route: SnapshotRoute): ServiceName {
    if (route.services.length === 1) return route.services[0].service;
    const { credits } = this.#rotationOf(route);
    return route.services[takeTurn(route, credits)].service;
  }

  #rotationOf(route: SnapshotRoute): Rotation {
    const signature = signatureOf(route);
    const known = this.#rotations.get(route.name);
    if (known !== undefined && known.signature === signature) return known;
    const rotation = { signature, credits: this.#randomCredits(route) };
    this.#rotations.set(route.name, rotation);
    return rotation;
  }

  /** Credits after a random number of turns. */
  #randomCredits(route: SnapshotRoute): number[] {
    const credits = route.services.map(() => 0);
    const turns = Math.floor(this.#random() * ROTATION_TURNS);
    for (let turn = 0; turn < turns; turn++) takeTurn(route, credits);
    return credits;
  }

  #retainRotations(routes: readonly SnapshotRoute[]): void {
    const retained = new Map<string, Rotation>();
    for (const { name } of routes) {
      const rotation = this.#rotations.get(name);
      if (rotation !== undefined) retained.set(name, rotation);
    }
    this.#rotations = retained;
  }
}

/**
 * Takes a turn of the rotation; returns the index of the service with the most
 * credit, which receives the request.
 */
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
): Map<string, RouteNode> {
  const byHost = new Map<string, RouteNode>();
  for (const route of routes) {
    const host = normalizeHost(route.host);
    const segments = route.pathPrefix.split("/").slice(0, -1);
    let node = childOf(byHost, host);
    for (const segment of segments) node = childOf(node.children, segment);
    node.route = route;
  }
  return byHost;
}

function childOf(nodes: Map<string, RouteNode>, key: string): RouteNode {
  let node = nodes.get(key);
  if (node === undefined) nodes.set(key, node = { children: new Map() });
  return node;
}

/** Lower case, without a port. */
export function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, "");
}
