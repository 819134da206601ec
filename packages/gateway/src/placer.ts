/**
 * Places requests on backend servers, asking the chosen one for its load
 * first where what is known of it is not fresh.
 */
import { needsLoadProbe } from "@marigoldford/kernel/load_probe";
import {
  type CrossDomainCost,
  place,
  type PlacementRequest,
  type PlacementResult,
  type StaleEstimate,
} from "@marigoldford/kernel/placement";
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
  readonly crossDomainCost: CrossDomainCost;
  readonly servers: ServerTable;
  readonly prober: Prober;
};

type Asking = {
  readonly service: ServiceName;
  readonly request: PlacementRequest;
  /** Servers that did not answer, besides those that were tried. */
  readonly passedOver: Set<string>;
};

export class Placer {
  readonly #options: PlacerOptions;

  constructor(options: PlacerOptions) {
    this.#options = options;
  }

  /** The best server by what is known now. */
  choose(
    service: ServiceName,
    request: PlacementRequest,
    staleView: StaleEstimate = "mean",
  ): PlacementResult {
    const { servers, clock, random, failureDomain, crossDomainCost: crossing } =
      this.#options;
    return place(servers.ofService(service), request, {
      now: clock(),
      random,
      ownFailureDomain: failureDomain,
      crossDomainCost: crossing,
      staleEstimate: staleView,
    });
  }

  /** How slow a server is now; undefined if it does not answer. */
  async probeSlowdown(server: ServerLoad): Promise<number | undefined> {
    const result = await this.#options.prober.askBriefly(server);
    return result === "answered" ? server.lastReport?.slowdown : undefined;
  }

  /** The best server, after asking those that look best. */
  async chooseAfterProbing(
    service: ServiceName,
    request: PlacementRequest,
    timeLeft: () => number,
  ): Promise<PlacementResult> {
    const passedOver = new Set(request.tried);
    const asking = { service, request, passedOver };
    let asked = 0;
    for (let round = 1;; round++) {
      const hoped = this.#hopeFor(asking, passedOver);
      if (hoped.kind !== "placed") break;
      const { server } = hoped.placement;
      if (this.#isFresh(server)) return hoped;
      const age = this.#ageOf(server);
      const isAsked = needsLoadProbe({
        reportAgeMilliseconds: age,
        probesSent: asked,
        remainingMilliseconds: timeLeft(),
      });
      if (!isAsked) break;
      asked += await this.#askBest(asking, round);
    }
    const settled = this.choose(service, { ...request, tried: passedOver });
    return settled.kind === "none" ? this.choose(service, request) : settled;
  }

  #hopeFor(
    { service, request }: Asking,
    tried: ReadonlySet<string>,
  ): PlacementResult {
    return this.choose(service, { ...request, tried }, "optimistic");
  }

  #ageOf(server: ServerLoad): number {
    return server.reportAgeMilliseconds(this.#options.clock());
  }

  #isFresh(server: ServerLoad): boolean {
    return !needsLoadProbe({
      reportAgeMilliseconds: this.#ageOf(server),
      probesSent: 0,
      remainingMilliseconds: Infinity,
    });
  }

  /** Asks the best servers at once; the silent ones are passed over. */
  async #askBest(asking: Asking, count: number): Promise<number> {
    const picked = new Set(asking.passedOver);
    const questions: Promise<void>[] = [];
    while (questions.length < count) {
      const hoped = this.#hopeFor(asking, picked);
      if (hoped.kind !== "placed") break;
      const { server } = hoped.placement;
      const { id } = server.registration;
      picked.add(id);
      if (this.#isFresh(server)) continue;
      questions.push(
        this.#options.prober.askBriefly(server).then((result) => {
          if (result !== "answered") asking.passedOver.add(id);
        }),
      );
    }
    await Promise.all(questions);
    return Math.max(1, questions.length);
  }
}
