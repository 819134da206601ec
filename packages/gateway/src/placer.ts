/**
 * Places requests on backend servers, asking the chosen one for its load
 * first where what is known of it is not fresh.
 */
import { needsConfirmation } from "@marigoldford/kernel/confirmation";
import {
  type CrossingCost,
  place,
  type Placement,
  type PlacementRequest,
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
  readonly crossing: CrossingCost;
  readonly servers: ServerTable;
  readonly prober: Prober;
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
  ): Placement | undefined {
    const { servers, clock, random, failureDomain, crossing } = this.#options;
    return place(servers.ofService(service), request, {
      now: clock(),
      random,
      ownFailureDomain: failureDomain,
      crossing,
    });
  }

  /** How slow a server is now; undefined if it does not answer. */
  async askSlowdown(server: ServerLoad): Promise<number | undefined> {
    const hasAnswered = await this.#options.prober.confirm(server);
    return hasAnswered ? server.lastReport?.slowdown : undefined;
  }

  /** The best server, after asking those that looked best. */
  async confirm(
    service: ServiceName,
    request: PlacementRequest,
    timeLeft: () => number,
  ): Promise<Placement | undefined> {
    const passedOver = new Set(request.tried);
    let asked = 0;
    for (let round = 1;; round++) {
      const choose = () =>
        this.choose(service, { ...request, tried: passedOver });
      const placement = choose();
      if (placement === undefined) return this.choose(service, request);
      if (!this.#isUnsure(placement.server, asked, timeLeft())) {
        return placement;
      }
      asked += await this.#askBest(service, request, {
        passedOver,
        count: round,
      });
    }
  }

  #isUnsure(server: ServerLoad, asked: number, timeLeft: number): boolean {
    return needsConfirmation({
      reportAgeMilliseconds: server.reportAgeMilliseconds(
        this.#options.clock(),
      ),
      asked,
      timeLeftMilliseconds: timeLeft,
    });
  }

  /** Asks the best servers at once; the silent ones are passed over. */
  async #askBest(
    service: ServiceName,
    request: PlacementRequest,
    { passedOver, count }: { passedOver: Set<string>; count: number },
  ): Promise<number> {
    const picked = new Set(passedOver);
    const questions: Promise<void>[] = [];
    while (questions.length < count) {
      const placement = this.choose(service, { ...request, tried: picked });
      if (placement === undefined) break;
      const { server } = placement;
      const { id } = server.registration;
      picked.add(id);
      if (!this.#isUnsure(server, 0, Infinity)) continue;
      questions.push(
        this.#options.prober.confirm(server).then((hasAnswered) => {
          if (!hasAnswered) passedOver.add(id);
        }),
      );
    }
    await Promise.all(questions);
    return Math.max(1, questions.length);
  }
}
