/**
 * What an entry keeps of each service and route: retry budget, waiting line
 * and learned work.
 */
import { FleetRetryBudget } from "@marigoldford/kernel/fleet_budget";
import { RouteEstimates } from "@marigoldford/kernel/route_estimates";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { Clock, ServiceName } from "@marigoldford/kernel/types";
import type { GatewayOptions } from "./options.ts";
import { ServiceQueue } from "./service_queue.ts";

const MILLISECONDS_IN_SECOND = 1_000;

export type ServiceStatesOptions = {
  readonly clock: Clock;
  readonly bounds: GatewayOptions["bounds"];
  /** Entries that share the retry budget. */
  readonly memberCount: () => number;
};

export class ServiceStates {
  readonly #options: ServiceStatesOptions;
  readonly #budgets = new Map<ServiceName, FleetRetryBudget>();
  readonly #lines = new Map<ServiceName, ServiceQueue>();
  readonly #works = new Map<string, RouteEstimates>();

  constructor(options: ServiceStatesOptions) {
    this.#options = options;
  }

  retryBudgetOf(service: ServiceName): FleetRetryBudget {
    return getOrMake(this.#budgets, service, () => this.#makeBudget());
  }

  queueOf(service: ServiceName): ServiceQueue {
    const { clock } = this.#options;
    return getOrMake(this.#lines, service, () => new ServiceQueue(clock));
  }

  estimatesOf({ name, kind }: SnapshotRoute): RouteEstimates {
    const isDownload = kind === "download";
    return getOrMake(this.#works, name, () => new RouteEstimates(isDownload));
  }

  #makeBudget(): FleetRetryBudget {
    const { clock, memberCount: members, bounds } = this.#options;
    const { retryShare, retryAllowance, retryWindowSeconds } = bounds;
    return new FleetRetryBudget({
      clock,
      share: retryShare,
      allowance: retryAllowance,
      windowMilliseconds: retryWindowSeconds * MILLISECONDS_IN_SECOND,
      memberCount: members,
    });
  }
}

function getOrMake<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  make: () => Value,
): Value {
  let value = map.get(key);
  if (value === undefined) map.set(key, value = make());
  return value;
}
