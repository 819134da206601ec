/**
 * The pools of backend servers of all configured services.
 */
import type { ChoosingPolicyPlugIn } from "@marigoldford/kernel/choosing_policy";
import type {
  RoutedCall,
  RoutingTable,
} from "@marigoldford/kernel/routing_table";
import {
  ServicePool,
  type ServicePoolDefaults,
} from "@marigoldford/kernel/service_pool";
import type {
  Address,
  Clock,
  RandomSource,
  ServiceName,
} from "@marigoldford/kernel/types";

export type ServicePoolsOptions = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy: ChoosingPolicyPlugIn;
  readonly defaults: ServicePoolDefaults;
  readonly isLeaving: (address: Address) => boolean;
};

export class ServicePools {
  readonly #options: ServicePoolsOptions;
  readonly #pools = new Map<ServiceName, ServicePool>();

  constructor(options: ServicePoolsOptions) {
    this.#options = options;
  }

  /** The pool of the service that a call was routed to. */
  poolFor(routed: RoutedCall | undefined): ServicePool | undefined {
    if (routed === undefined) return undefined;
    return this.#pools.get(routed.service.service);
  }

  all(): ServicePool[] {
    return [...this.#pools.values()];
  }

  /** Addresses of the backend servers of all services. */
  addresses(): Set<Address> {
    const addresses = new Set<Address>();
    for (const pool of this.#pools.values()) {
      for (const server of pool.servers) addresses.add(server.address);
    }
    return addresses;
  }

  update(table: RoutingTable): void {
    const listed = new Set<ServiceName>();
    for (const intentions of table.services) {
      listed.add(intentions.service);
      const pool = this.#pools.get(intentions.service);
      if (pool !== undefined) {
        pool.update(intentions);
        continue;
      }
      const { clock, random, policy, defaults, isLeaving } = this.#options;
      this.#pools.set(
        intentions.service,
        new ServicePool({
          intentions,
          clock,
          defaults,
          isLeaving,
          policy: policy({ clock, random }),
        }),
      );
    }
    for (const service of this.#pools.keys()) {
      if (!listed.has(service)) this.#pools.delete(service);
    }
  }
}
