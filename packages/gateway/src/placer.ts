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

  /** The best server, after asking those that looked best. */
  async confirm(
    service: ServiceName,
    request: PlacementRequest,
    timeLeft: () => number,
  ): Promise<Placement | undefined> {
    const passedOver = new Set(request.tried);
    for (let asked = 0;; asked++) {
      const placement = this.choose(service, { ...request, tried: passedOver });
      if (placement === undefined) return this.choose(service, request);
      const { server } = placement;
      const isUnsure = needsConfirmation({
        reportAgeMilliseconds: server.reportAgeMilliseconds(
          this.#options.clock(),
        ),
        asked,
        timeLeftMilliseconds: timeLeft(),
      });
      if (!isUnsure) return placement;
      const hasAnswered = await this.#options.prober.confirm(server);
      if (!hasAnswered) passedOver.add(server.registration.id);
    }
  }
}
