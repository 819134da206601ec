/**
 * Selects backend servers for requests, and probes the best candidates first if
 * their last load reports are not fresh.
 */
import {
  isPlacedBlindly,
  maximumProbes,
  needsLoadProbe,
  probesInRound,
} from "@marigoldford/kernel/load_probe";
import {
  type CrossDomainCost,
  limitWithQueue,
  place,
  type PlacementContext,
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
    /** The same in a fleet that is too large to exchange load reports. */
    readonly objectivesPerConnectionInLargeFleet: number;
  };
  readonly servers: ServerTable;
  readonly prober: Prober;
  /** Whether entries tell each other the loads that they read. */
  readonly areReportsExchanged: () => boolean;
  /** Requests a second that a cold server takes from the fleet; 0: any. */
  readonly warmUpRateOf: (service: ServiceName) => number;
};

/** How the server of a request is searched for. */
export type Search = {
  readonly remainingMilliseconds: () => number;
  /** Whether the request was queued before. */
  readonly hasWaited: boolean;
  /** Whether the request can be queued if no server is known to have room. */
  readonly mayQueue: boolean;
};

type Selection = {
  readonly service: ServiceName;
  readonly request: PlacementRequest;
  /** Servers that were tried, or did not answer a probe. */
  readonly excluded: Set<string>;
  probesAnswered: number;
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
    const servers = this.#options.servers.ofService(service);
    return place(servers, request, this.contextOf(service, staleEstimate));
  }

  /** What a placement among the servers of a service now depends on. */
  contextOf(
    service: ServiceName,
    staleEstimate: StaleEstimate,
  ): PlacementContext {
    const { clock, random, failureDomain, costs } = this.#options;
    const now = clock();
    const areReportsExchanged = this.#options.areReportsExchanged();
    return {
      now,
      random,
      ownFailureDomain: failureDomain,
      crossDomainCost: costs.crossDomainCost,
      connectionCost: {
        connectionsToOpen: (server) =>
          this.#connectionsToOpen(server, areReportsExchanged),
        objectivesPerConnection: areReportsExchanged
          ? costs.objectivesPerConnection
          : costs.objectivesPerConnectionInLargeFleet,
      },
      staleEstimate,
      assumedOccupancy: staleEstimate === "optimistic"
        ? () => 0
        : reportedOccupancy(this.#options.servers.ofService(service), now),
      warmUpRequestsPerSecond: this.#options.warmUpRateOf(service),
      concurrencyLimit: limitWithQueue,
    };
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
   * over the connection of the probe. In small fleets probes keep their
   * connections: where an idle one is left for the request, the next probe opens
   * another.
   */
  #connectionsToOpen(
    { registration: { id } }: ServerLoad,
    areReportsExchanged: boolean,
  ): number {
    const { prober, servers } = this.#options;
    if (prober.isConnected(id)) return 0;
    if (!servers.find(id)?.connections.hasIdle) return 1;
    return areReportsExchanged ? 0.5 : 0;
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
   * Selects the best server after probing the best candidates, more of them at
   * once in each round.
   */
  async chooseAfterProbing(
    service: ServiceName,
    request: PlacementRequest,
    search: Search,
  ): Promise<PlacementResult> {
    const excluded = new Set(request.tried);
    const selection = { service, request, excluded, probesAnswered: 0 };
    const areReportsExchanged = this.#options.areReportsExchanged();
    const { hasWaited } = search;
    let probesSent = 0;
    for (let round = 1;; round++) {
      const candidate = this.#bestCandidate(selection, excluded);
      if (candidate.kind !== "placed") break;
      const { server } = candidate.placement;
      if (this.isFresh(server)) return candidate;
      const mustProbe = needsLoadProbe({
        reportAgeMilliseconds: this.#reportAgeOf(server),
        mayReport: server.mayReport,
        probesSent,
        maximumProbes: maximumProbes({ areReportsExchanged, hasWaited }),
        remainingMilliseconds: search.remainingMilliseconds(),
      });
      if (!mustProbe) break;
      const probes = probesInRound(round, areReportsExchanged);
      probesSent += await this.#probeBest(selection, probes);
    }
    const result = this.choose(service, { ...request, tried: excluded });
    // If none is left, servers that did not answer a probe are allowed again.
    if (result.kind === "none" || result.kind === "held-back") {
      return this.choose(service, request);
    }
    const mustQueue = result.kind === "placed" && search.mayQueue &&
      !areReportsExchanged && isPlacedBlindly({
        reportAgeMilliseconds: this.#reportAgeOf(result.placement.server),
        mayReport: result.placement.server.mayReport,
        probesAnswered: selection.probesAnswered,
      });
    return mustQueue ? { kind: "unknown" } : result;
  }

  #bestCandidate(
    { service, request }: Pick<Selection, "service" | "request">,
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
  isFresh(server: ServerLoad): boolean {
    if (server.restrictions.requestLimit !== "none") return true;
    return !needsLoadProbe({
      reportAgeMilliseconds: this.#reportAgeOf(server),
      mayReport: server.mayReport,
      probesSent: 0,
      maximumProbes: Infinity,
      remainingMilliseconds: Infinity,
    });
  }

  /**
   * Probes the best candidates concurrently, until one of them turns out to be
   * the server to use; those that do not answer are excluded. Returns the number
   * of probes, but at least 1 so that rounds end.
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
      if (this.isFresh(server)) continue;
      probes.push(
        this.#options.prober.probeForRequest(server).then((result) => {
          if (result === "answered") selection.probesAnswered += 1;
          else selection.excluded.add(id);
        }),
      );
    }
    if (probes.length === 1) await probes[0];
    if (probes.length <= 1) return 1;
    const found = probes.map(async (probe) => {
      await probe;
      if (!this.#hasFreshCandidate(selection)) throw new Error("not found");
    });
    await Promise.any(found).catch(() => {});
    return probes.length;
  }

  #hasFreshCandidate(selection: Selection): boolean {
    const candidate = this.#bestCandidate(selection, selection.excluded);
    return candidate.kind === "placed" &&
      this.isFresh(candidate.placement.server);
  }
}
