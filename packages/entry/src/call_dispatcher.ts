/**
 * Places calls and starts attempts, for repeatable and protected calls alike.
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
  /** Waits, after a pause, until beliefs are fresh enough to act on. */
  readonly resyncAfterPause: () => Promise<void> | undefined;
  readonly isSuspect: (call: BufferedCall) => boolean;
  readonly onLeaving: (address: Address) => void;
  /** Called for each call in flight at a server whose connection broke. */
  readonly onBroken: (attempt: Attempt) => void;
};

export type DispatchRequest = {
  readonly call: BufferedCall;
  readonly pool: ServicePool;
  readonly tried: ReadonlySet<Address>;
  readonly attemptNumber: number;
  readonly use: ConnectionUse;
};

const DECISIONS = new Logger("decision");

export class CallDispatcher {
  readonly #options: CallDispatcherOptions;

  constructor(options: CallDispatcherOptions) {
    this.#options = options;
  }

  /** Chooses a backend server, waiting for room if need be, and sends. */
  async dispatch(placed: DispatchRequest): Promise<Result<Attempt, Refusal>> {
    const refresh = this.#options.resyncAfterPause();
    if (refresh !== undefined) await refresh;
    const startedAt = this.#options.clock();
    for (;;) {
      const decision = placed.pool.place({
        deadlineAtMilliseconds: placed.call.deadlineAtMilliseconds,
        tried: placed.tried,
        isSuspect: this.#options.isSuspect(placed.call),
      });
      if (decision.kind === "refuse") {
        return err(this.#refuse(placed, decision.reason));
      }
      if (decision.kind === "placed") {
        const { choice, candidateCount } = decision;
        this.#logPlacement(placed, {
          server: choice.server.address,
          score: choice.score,
          why: choice.why,
          candidateCount,
          waited: this.#options.clock() - startedAt,
        });
        return ok(this.#start(placed, choice.server));
      }
      await this.#waitForRoom(placed);
    }
  }

  #start(placed: DispatchRequest, server: BackendServerState): Attempt {
    const { clock, connectionPools: pools, connectTimeoutMilliseconds } =
      this.#options;
    const isSuspect = this.#options.isSuspect(placed.call);
    this.#options.metrics.attempts += 1;
    return new Attempt({
      call: placed.call,
      server,
      isSuspect,
      attemptNumber: placed.attemptNumber,
      use: placed.use,
      connectionPools: pools,
      clock,
      connectTimeoutMilliseconds,
      hooks: {
        onSignals: (from, signals) => this.#noteSignals(from, signals),
        onEnd: (attempt) => this.#noteEnd(attempt, placed.pool),
      },
    });
  }

  #noteSignals(server: BackendServerState, signals: BackendSignals): void {
    if (signals.inFlight !== undefined) {
      server.recordReport(signals.inFlight, this.#options.clock());
    }
    const isLeaving = signals.isLeaving || signals.notRun === "leaving";
    if (isLeaving) this.#options.onLeaving(server.address);
  }

  #noteEnd(attempt: Attempt, pool: ServicePool): void {
    if (attempt.end === "broken") this.#options.onBroken(attempt);
    if (attempt.end === "timed-out") {
      this.#options.connectionPools.closeIdle(attempt.server.address);
    }
    pool.queue.wakeNext();
  }

  #waitForRoom(placed: DispatchRequest): Promise<void> {
    this.#options.metrics.waits += 1;
    const { deadlineAtMilliseconds } = placed.call;
    const timeLeft = deadlineAtMilliseconds - this.#options.clock();
    return new Promise((resolve) => {
      const waiting = { deadlineAtMilliseconds, wake };
      const timer = setTimeout(() => {
        placed.pool.queue.remove(waiting);
        resolve();
      }, Math.max(0, Math.min(timeLeft, LONGEST_WAIT_MILLISECONDS)));
      function wake(): void {
        clearTimeout(timer);
        resolve();
      }
      placed.pool.queue.add(waiting);
    });
  }

  #refuse(placed: DispatchRequest, reason: Refusal["reason"]): Refusal {
    DECISIONS.write("refuse", () => ({
      call: placed.call.id,
      service: placed.pool.service,
      reason,
    }));
    const { service } = placed.pool;
    const detail = `Service ${service} has no place for the call: ${reason}`;
    return { reason: reason, detail };
  }

  #logPlacement(placed: DispatchRequest, placement: Placement): void {
    DECISIONS.write("place", () => ({
      call: placed.call.id,
      service: placed.pool.service,
      method: placed.call.method,
      use: placed.use,
      attempt: placed.attemptNumber,
      server: placement.server,
      candidates: placement.candidateCount,
      why: placement.why,
      score: Number(placement.score.toFixed(3)),
      waitedMilliseconds: Number(placement.waited.toFixed(2)),
    }));
  }
}

type Placement = {
  readonly server: Address;
  readonly score: number;
  readonly why: string;
  readonly candidateCount: number;
  readonly waited: number;
};

/** A blocked backend server may come back without any call ending. */
const LONGEST_WAIT_MILLISECONDS = 100;
