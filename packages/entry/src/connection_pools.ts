/**
 * Connections to backend servers.
 *
 * Each backend server has two pools. Repeatable calls use connections that
 * may have been quiet for seconds. Protected calls use only connections that
 * were in use a moment ago, and otherwise a fresh one, because a connection
 * that has silently died cannot tell whether the call ran.
 */
import { Agent } from "node:http";
import type { Address } from "@marigoldford/kernel/types";

export type ConnectionPoolsOptions = {
  readonly idleMilliseconds: number;
  readonly protectedIdleMilliseconds: number;
};

type ServerPools = { repeatable: Agent; protected: Agent };

export type ConnectionUse = "repeatable" | "protected";

export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #pools = new Map<Address, ServerPools>();

  constructor(options: ConnectionPoolsOptions) {
    this.#options = options;
  }

  /** The agent for one kind of call to one backend server. */
  agentFor(address: Address, use: ConnectionUse): Agent {
    const existing = this.#pools.get(address);
    if (existing !== undefined) return existing[use];
    const pools = this.#open();
    this.#pools.set(address, pools);
    return pools[use];
  }

  /** Closes idle connections: the backend server leaves or went silent. */
  closeIdle(address: Address): void {
    const pools = this.#pools.get(address);
    if (pools === undefined) return;
    for (const agent of [pools.repeatable, pools.protected]) {
      for (const sockets of Object.values(agent.freeSockets)) {
        for (const socket of sockets ?? []) socket.destroy();
      }
    }
  }

  /** Forgets backend servers that no intention names any more. */
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

  #open(): ServerPools {
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
