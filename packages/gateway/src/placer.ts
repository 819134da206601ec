/**
 * Selects backend servers for requests, and probes the best candidates first if
 * their last load reports are not fresh.
 */
import { needsLoadProbe } from "@marigoldford/kernel/load_probe";
import {
  type CrossDomainCost,
  limitWithQueue,
  place,
  type PlacementRequest,
  type PlacementResult,
  type StaleEstimate,
} from "@marigoldford/kernel/placement";
import { reportedOccupancy } from "@marigoldford/kernel/reported_occupancy";
import type {
  Clock,
  FailureDomain,
  RandomSource,
  ServiceName,
} from "@marigoldford/kernel/types";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { Prober } from "./prober.ts";
import type { ServerTable } from "./server_table.ts";

export type PlacerOptions = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly failureDomain: FailureDomain;
  readonly costs: {
    readonly crossDomainCost: CrossDomainCost;
    /** Cost of opening a connection, in latency objectives. */
    readonly objectivesPerConnection: number;
  };
  readonly servers: ServerTable;
  readonly prober: Prober;
  /** Requests a second that a cold server takes from the fleet; 0: any. */
  readonly warmUpRateOf: (service: ServiceName) => number;
};

type Selection = {
  readonly service: ServiceName;
  readonly request: PlacementRequest;
  /** Servers that were tried, or did not answer a probe. */
  readonly excluded: Set<string>;
};

export class Placer {
  readonly #options: PlacerOptions;

  constructor(options: PlacerOptions) {
    this.#options = options;
  }

  /** Selects the best server by its known load, without probing. */
  choose(
    service: ServiceName,
    request: PlacementRequest,
    staleEstimate: StaleEstimate = "mean",
  ): PlacementResult {
    const { clock, random, failureDomain } = this.#options;
    const { crossDomainCost, objectivesPerConnection } = this.#options.costs;
    const servers = this.#options.servers.ofService(service);
    const now = clock();
    return place(servers, request, {
      now,
      random,
      ownFailureDomain: failureDomain,
      crossDomainCost,
      connectionCost: {
        connectionsToOpen: (server) => this.#connectionsToOpen(server),
        objectivesPerConnection,
      },
      staleEstimate,
      assumedOccupancy: staleEstimate === "optimistic"
        ? () => 0
        : reportedOccupancy(servers, now),
      warmUpRequestsPerSecond: this.#options.warmUpRateOf(service),
      concurrencyLimit: limitWithQueue,
    });
  }

  /**
   * Uses up the permission for a request to a server. Another request may have
   * done so since the server was selected.
   */
  trySpend(server: ServerLoad): boolean {
    const { clock, warmUpRateOf } = this.#options;
    const { service } = server.registration;
    return server.trySpend(clock(), warmUpRateOf(service));
  }

  /**
   * Connections to open for a probe and the request after it, which may take
   * over the connection of the probe. Where an idle one is left for the
   * request, the probe's is kept for the next.
   */
  #connectionsToOpen({ registration: { id } }: ServerLoad): number {
    const { prober, servers } = this.#options;
    if (prober.isConnected(id)) return 0;
    return servers.find(id)?.connections.hasIdle ? 0.5 : 1;
  }

  /**
   * Probes the current slowdown of a server; undefined if it does not answer,
   * or limits its requests.
   */
  async probeSlowdown(server: ServerLoad): Promise<number | undefined> {
    if (server.restrictions.requestLimit !== "none") return undefined;
    const result = await this.#options.prober.probeForRequest(server);
    return result === "answered" ? server.lastReport?.slowdown : undefined;
  }

  /**
   * Selects the best server after probing the best candidates: one in the first
   * round, and one more in each further round.
   */
  async chooseAfterProbing(
    service: ServiceName,
    request: PlacementRequest,
    remainingMilliseconds: () => number,
  ): Promise<PlacementResult> {
    const excluded = new Set(request.tried);
    const selection = { service, request, excluded };
    let probesSent = 0;
    for (let round = 1;; round++) {
      const candidate = this.#bestCandidate(selection, excluded);
      if (candidate.kind !== "placed") break;
      const { server } = candidate.placement;
      if (this.#isFresh(server)) return candidate;
      const age = this.#reportAgeOf(server);
      const mustProbe = needsLoadProbe({
        reportAgeMilliseconds: age,
        mayReport: server.mayReport,
        probesSent,
        remainingMilliseconds: remainingMilliseconds(),
      });
      if (!mustProbe) break;
      probesSent += await this.#probeBest(selection, round);
    }
    const result = this.choose(service, { ...request, tried: excluded });
    // If none is left, servers that did not answer a probe are allowed again.
    return result.kind === "none" || result.kind === "held-back"
      ? this.choose(service, request)
      : result;
  }

  #bestCandidate(
    { service, request }: Selection,
    tried: ReadonlySet<string>,
  ): PlacementResult {
    return this.choose(service, { ...request, tried }, "optimistic");
  }

  /**
   * The best candidate outside of `domains`, if there is one. All servers of a
   * failure domain may be full while another one has room.
   */
  #bestCandidateElsewhere(
    selection: Selection,
    tried: ReadonlySet<string>,
    domains: ReadonlySet<FailureDomain>,
  ): PlacementResult {
    if (domains.size > 0) {
      const skipped = new Set(tried);
      const servers = this.#options.servers.ofService(selection.service);
      for (const { registration: { id, failureDomain } } of servers) {
        if (domains.has(failureDomain)) skipped.add(id);
      }
      const elsewhere = this.#bestCandidate(selection, skipped);
      if (elsewhere.kind === "placed") return elsewhere;
    }
    return this.#bestCandidate(selection, tried);
  }

  #reportAgeOf(server: ServerLoad): number {
    return server.reportAgeMilliseconds(this.#options.clock());
  }

  /**
   * Whether a probe would bring nothing. Servers that limit their requests are
   * not probed for each of them.
   */
  #isFresh(server: ServerLoad): boolean {
    if (server.restrictions.requestLimit !== "none") return true;
    return !needsLoadProbe({
      reportAgeMilliseconds: this.#reportAgeOf(server),
      mayReport: server.mayReport,
      probesSent: 0,
      remainingMilliseconds: Infinity,
    });
  }

  /**
   * Probes the best candidates concurrently; those that do not answer are
   * excluded. Returns the number of probes, but at least 1 so that rounds end.
   */
  async #probeBest(
    selection: Selection,
    maximumProbes: number,
  ): Promise<number> {
    const picked = new Set(selection.excluded);
    const pickedDomains = new Set<FailureDomain>();
    const probes: Promise<void>[] = [];
    while (probes.length < maximumProbes) {
      const candidate = this.#bestCandidateElsewhere(
        selection,
        picked,
        pickedDomains,
      );
      if (candidate.kind !== "placed") break;
      const { server } = candidate.placement;
      const { id } = server.registration;
      picked.add(id);
      pickedDomains.add(server.registration.failureDomain);
      if (this.#isFresh(server)) continue;
      probes.push(
        this.#options.prober.probeForRequest(server).then((result) => {
          if (result !== "answered") selection.excluded.add(id);
        }),
      );
    }
    await Promise.all(probes);
    return Math.max(1, probes.length);
  }
}
