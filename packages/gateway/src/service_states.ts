/**
 * State that an entry keeps for each service and route: retry budget, queue,
 * and estimates of service time and answer size.
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
  /** Number of entries that share the retry budget. */
  readonly memberCount: () => number;
  /** Called when a request has to wait for a server. */
  readonly onWaiting?: (service: ServiceName) => void;
};

export class ServiceStates {
  readonly #options: ServiceStatesOptions;
  readonly #budgets = new Map<ServiceName, FleetRetryBudget>();
  readonly #queues = new Map<ServiceName, ServiceQueue>();
  readonly #estimates = new Map<string, RouteEstimates>();

  constructor(options: ServiceStatesOptions) {
    this.#options = options;
  }

  retryBudgetOf(service: ServiceName): FleetRetryBudget {
    return getOrMake(this.#budgets, service, () => this.#makeBudget());
  }

  /** The queue of a service, if a request has used it. */
  findQueue(service: ServiceName): ServiceQueue | undefined {
    return this.#queues.get(service);
  }

  queueOf(service: ServiceName): ServiceQueue {
    const { clock, onWaiting } = this.#options;
    return getOrMake(
      this.#queues,
      service,
      () => new ServiceQueue(clock, () => onWaiting?.(service)),
    );
  }

  estimatesOf(route: SnapshotRoute): RouteEstimates {
    return getOrMake(this.#estimates, route.name, () => makeEstimates(route));
  }

  /** Like `estimatesOf`, but does not keep new estimates. */
  peekEstimatesOf(route: SnapshotRoute): RouteEstimates {
    return this.#estimates.get(route.name) ?? makeEstimates(route);
  }

  #makeBudget(): FleetRetryBudget {
    const { clock, memberCount, bounds } = this.#options;
    const { retryShare, retryAllowance, retryWindowSeconds } = bounds;
    return new FleetRetryBudget({
      clock,
      share: retryShare,
      allowance: retryAllowance,
      windowMilliseconds: retryWindowSeconds * MILLISECONDS_IN_SECOND,
      memberCount,
    });
  }
}

function makeEstimates(
  { kind, objectiveMilliseconds }: SnapshotRoute,
): RouteEstimates {
  return new RouteEstimates({
    objectiveMilliseconds,
    isDownload: kind === "download",
  });
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
