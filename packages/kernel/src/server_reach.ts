/**
 * Decides from the outcomes of connections and probes whether this entry
 * reaches the backend servers of a service.
 *
 * A server that fails may be down. If several servers in a row fail and none
 * answers in between, the entry is probably cut from them; whether its peers
 * reach them tells the one from the other.
 */
import type { Clock, ServiceName } from "./types.ts";

/**
 * - `reached`: servers answer, or too few have failed to tell.
 * - `no-new-connections`: open connections may live on, but none was opened.
 * - `cut`: no server was reached at all.
 */
export type Reach = "reached" | "no-new-connections" | "cut";

/** `silence` is a probe without an answer on a connection that was open. */
export type ReachFailure = "connection" | "silence";

type Failures = {
  /** When servers last failed, since one was reached. */
  readonly any: Map<string, number>;
  /** When connections last failed, since one was opened. */
  readonly connections: Map<string, number>;
};

/** Failures of this many servers, or of all if there are fewer, are a cut. */
const FAILED_SERVERS = 3;
/** Failures that are not repeated within this time count no longer. */
const RETENTION_MILLISECONDS = 5_000;

export class ServerReach {
  readonly #clock: Clock;
  readonly #failures = new Map<ServiceName, Failures>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records an answer of a server on any connection. */
  recordAnswer(service: ServiceName): void {
    this.#failures.get(service)?.any.clear();
  }

  /** Records that a connection was opened. */
  recordConnection(service: ServiceName): void {
    this.#failures.delete(service);
  }

  recordFailure(
    service: ServiceName,
    server: string,
    kind: ReachFailure,
  ): void {
    let failures = this.#failures.get(service);
    if (failures === undefined) {
      failures = { any: new Map(), connections: new Map() };
      this.#failures.set(service, failures);
    }
    const now = this.#clock();
    failures.any.set(server, now);
    if (kind === "connection") failures.connections.set(server, now);
  }

  /** The reach of a service with this many servers. */
  of(service: ServiceName, servers: number): Reach {
    const failures = this.#failures.get(service);
    if (failures === undefined || servers === 0) return "reached";
    const needed = Math.min(FAILED_SERVERS, servers);
    if (this.#countRecent(failures.any) >= needed) return "cut";
    return this.#countRecent(failures.connections) >= needed
      ? "no-new-connections"
      : "reached";
  }

  /** Services with failures, for which `of` may tell something. */
  suspects(): ServiceName[] {
    return [...this.#failures.keys()];
  }

  #countRecent(failedAt: Map<string, number>): number {
    const since = this.#clock() - RETENTION_MILLISECONDS;
    for (const [server, at] of failedAt) {
      if (at < since) failedAt.delete(server);
    }
    return failedAt.size;
  }
}
