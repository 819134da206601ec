/**
 * Chooses backend servers and starts attempts, for idempotent and protected
 * calls alike.
 */
import type { BackendServerState } from "@marigoldford/kernel/backend_server_state";
import type { Refusal } from "@marigoldford/kernel/refusal";
import type { ServicePool } from "@marigoldford/kernel/service_pool";
import type { Address, Clock } from "@marigoldford/kernel/types";
import { Logger } from "@marigoldford/logger/logger";
import { err, ok, type Result } from "neverthrow";
import { Attempt } from "./attempt.ts";
import type { BackendSignals } from "./backend_protocol.ts";
import type { ConnectionPools, ConnectionUse } from "./connection_pools.ts";
import type { BufferedCall } from "./incoming_call.ts";
import type { EntryMetrics } from "./metrics.ts";

export type CallDispatcherOptions = {
  readonly clock: Clock;
  readonly connectionPools: ConnectionPools;
  readonly metrics: EntryMetrics;
  readonly connectTimeoutMilliseconds: number;
  /**
   * Resolves when the sync that follows a pause of the process ends, so that
   * no backend server is chosen from stale state. Undefined if none is needed.
   */
  readonly resyncAfterPause: () => Promise<void> | undefined;
  /** Whether the request is suspected of having crashed a backend server. */
  readonly isSuspect: (call: BufferedCall) => boolean;
  readonly onLeaving: (address: Address) => void;
  /** Called for an attempt whose connection broke before a complete answer. */
  readonly onBroken: (attempt: Attempt) => void;
};

export type DispatchRequest = {
  readonly call: BufferedCall;
  readonly pool: ServicePool;
  readonly tried: ReadonlySet<Address>;
  readonly attemptNumber: number;
  readonly use: ConnectionUse;
};

const DECISION_LOG = new Logger("decision");

export class CallDispatcher {
  readonly #options: CallDispatcherOptions;

  constructor(options: CallDispatcherOptions) {
    this.#options = options;
  }

  /** Chooses a backend server, queueing for capacity, and sends the call. */
  async dispatch(request: DispatchRequest): Promise<Result<Attempt, Refusal>> {
    const resync = this.#options.resyncAfterPause();
    if (resync !== undefined) await resync;
    const startedAt = this.#options.clock();
    for (;;) {
      const decision = request.pool.place({
        deadlineAtMilliseconds: request.call.deadlineAtMilliseconds,
        tried: request.tried,
        isSuspect: this.#options.isSuspect(request.call),
      });
      if (decision.kind === "refuse") {
        return err(this.#refuse(request, decision.reason));
      }
      if (decision.kind === "placed") {
        const { choice, candidateCount } = decision;
        this.#logPlacement(request, {
          server: choice.server.address,
          score: choice.score,
          why: choice.why,
          candidateCount,
          waitedMilliseconds: this.#options.clock() - startedAt,
        });
        return ok(this.#startAttempt(request, choice.server));
      }
      await this.#waitForCapacity(request);
    }
  }

  #startAttempt(request: DispatchRequest, server: BackendServerState): Attempt {
    const { clock, connectionPools, connectTimeoutMilliseconds } =
      this.#options;
    const isSuspect = this.#options.isSuspect(request.call);
    this.#options.metrics.attempts += 1;
    return new Attempt({
      call: request.call,
      server,
      isSuspect,
      attemptNumber: request.attemptNumber,
      use: request.use,
      connectionPools,
      clock,
      connectTimeoutMilliseconds,
      hooks: {
        onSignals: (from, signals) => this.#recordSignals(from, signals),
        onEnd: (attempt) => this.#handleEnd(attempt, request.pool),
      },
    });
  }

  #recordSignals(server: BackendServerState, signals: BackendSignals): void {
    if (signals.inFlight !== undefined) {
      server.recordReport(signals.inFlight, this.#options.clock());
    }
    const isLeaving = signals.isLeaving || signals.notRun === "leaving";
    if (isLeaving) this.#options.onLeaving(server.address);
  }

  #handleEnd(attempt: Attempt, pool: ServicePool): void {
    if (attempt.end === "broken") this.#options.onBroken(attempt);
    if (attempt.end === "timed-out") {
      this.#options.connectionPools.closeIdle(attempt.server.address);
    }
    pool.queue.wakeNext();
  }

  #waitForCapacity(request: DispatchRequest): Promise<void> {
    this.#options.metrics.waits += 1;
    const { deadlineAtMilliseconds } = request.call;
    const remaining = deadlineAtMilliseconds - this.#options.clock();
    return new Promise((resolve) => {
      const waiter = { deadlineAtMilliseconds, wake };
      const timer = setTimeout(() => {
        request.pool.queue.remove(waiter);
        resolve();
      }, Math.max(0, Math.min(remaining, MAXIMUM_WAIT_MILLISECONDS)));
      function wake(): void {
        clearTimeout(timer);
        resolve();
      }
      request.pool.queue.add(waiter);
    });
  }

  #refuse(request: DispatchRequest, reason: Refusal["reason"]): Refusal {
    DECISION_LOG.write("refuse", () => ({
      call: request.call.id,
      service: request.pool.service,
      reason,
    }));
    const { service } = request.pool;
    const detail = `Service ${service} has no place for the call: ${reason}`;
    return { reason, detail };
  }

  #logPlacement(request: DispatchRequest, placement: Placement): void {
    DECISION_LOG.write("place", () => ({
      call: request.call.id,
      service: request.pool.service,
      method: request.call.method,
      use: request.use,
      attempt: request.attemptNumber,
      server: placement.server,
      candidates: placement.candidateCount,
      why: placement.why,
      score: Number(placement.score.toFixed(3)),
      waitedMilliseconds: Number(placement.waitedMilliseconds.toFixed(2)),
    }));
  }
}

type Placement = {
  readonly server: Address;
  readonly score: number;
  readonly why: string;
  readonly candidateCount: number;
  readonly waitedMilliseconds: number;
};

/**
 * Time after which a queued call tries again by itself. The end of a call wakes
 * the queue, but a blocked backend server can become available without one.
 */
const MAXIMUM_WAIT_MILLISECONDS = 100;
