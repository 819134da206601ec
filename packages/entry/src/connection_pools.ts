/**
 * Connections to backend servers.
 *
 * Each backend server has two pools. Idempotent calls reuse connections that
 * may have been idle for seconds. Protected calls reuse only connections that
 * were idle briefly, and otherwise open a new one: if a call is sent on a
 * connection that was already dead, nothing proves that it did not run.
 */
import { Agent } from "node:http";
import type { Address } from "@marigoldford/kernel/types";

export type ConnectionPoolsOptions = {
  readonly idleMilliseconds: number;
  readonly protectedIdleMilliseconds: number;
};

type ServerPools = { repeatable: Agent; protected: Agent };

/** Kinds of calls; `repeatable`, as logged, stands for idempotent calls. */
export type ConnectionUse = "repeatable" | "protected";

export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #pools = new Map<Address, ServerPools>();

  constructor(options: ConnectionPoolsOptions) {
    this.#options = options;
  }

  /** The agent for one kind of call to one backend server, made on first use. */
  agentFor(address: Address, use: ConnectionUse): Agent {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing[use];
    const pools = this.#createPools();
    this.#pools.set(address, pools);
    return pools[use];
  }

  /** Closes idle connections to a backend server that leaves or timed out. */
  closeIdle(address: Address): void {
    const pools = this.#pools.get(address);
    if (pools === undefined) return;
    for (const agent of [pools.repeatable, pools.protected]) {
      for (const sockets of Object.values(agent.freeSockets)) {
        for (const socket of sockets ?? []) socket.destroy();
      }
    }
  }

  /** Drops the pools of backend servers that are no longer configured. */
  closeAllExcept(addresses: ReadonlySet<Address>): void {
    for (const address of this.#pools.keys()) {
      if (addresses.has(address)) continue;
      this.closeIdle(address);
      this.#pools.delete(address);
    }
  }

  close(): void {
    for (const pools of this.#pools.values()) {
      pools.repeatable.destroy();
      pools.protected.destroy();
    }
    this.#pools.clear();
  }

  #createPools(): ServerPools {
    const { idleMilliseconds, protectedIdleMilliseconds } = this.#options;
    return {
      repeatable: new Agent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: idleMilliseconds,
      }),
      protected: new Agent({
        keepAlive: true,
        scheduling: "lifo",
        timeout: protectedIdleMilliseconds,
      }),
    };
  }
}
