/**
 * Runs idempotent calls: with retries on another backend server and one hedge,
 * each within its budget.
 *
 * Only one layer of a call chain retries: a call that arrives marked as a retry
 * of its caller gets a single attempt here.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "@marigoldford/kernel/refusal";
import type { ServicePool } from "@marigoldford/kernel/service_pool";
import type { Address, Clock } from "@marigoldford/kernel/types";
import { type Attempt, type AttemptFailure, provesNotRun } from "./attempt.ts";
import type { CallerConnection } from "./caller_connection.ts";
import type { CallDispatcher } from "./call_dispatcher.ts";
import type { BufferedCall } from "./incoming_call.ts";
import type { EntryMetrics } from "./metrics.ts";

export type IdempotentCallsOptions = {
  readonly clock: Clock;
  readonly dispatcher: CallDispatcher;
  readonly metrics: EntryMetrics;
  /** Whether the request has been quarantined while it was running. */
  readonly isQuarantined: (call: BufferedCall) => boolean;
  /** Called when a request was answered, so it crashed no backend server. */
  readonly clearSuspicion: (call: BufferedCall) => void;
};

/** An answer whose head has arrived. */
export type AnswerHead = {
  readonly attempt: Attempt;
  readonly response: IncomingMessage;
};

type RunEvent =
  | {
    readonly kind: "head";
    readonly attempt: Attempt;
    readonly result: Result<IncomingMessage, AttemptFailure>;
  }
  | { readonly kind: "hedge-due" }
  | { readonly kind: "deadline" }
  | { readonly kind: "caller-disconnected" };

export class IdempotentCalls {
  readonly #options: IdempotentCallsOptions;

  constructor(options: IdempotentCallsOptions) {
    this.#options = options;
  }

  /** Resolves with the first answer head, or with a refusal. */
  run(
    call: BufferedCall,
    context: { pool: ServicePool; caller: CallerConnection },
  ): Promise<Result<AnswerHead, Refusal>> {
    const run = new IdempotentRun(call, { ...this.#options, ...context });
    return run.result();
  }
}

type RunContext = IdempotentCallsOptions & {
  readonly pool: ServicePool;
  readonly caller: CallerConnection;
};

/** Runs the attempts of one call and takes the first answer. */
class IdempotentRun {
  readonly #call: BufferedCall;
  readonly #context: RunContext;
  readonly #pending = new Set<Attempt>();
  readonly #tried = new Set<Address>();
  readonly #timers: ReturnType<typeof setTimeout>[] = [];
  readonly #events: RunEvent[] = [];
  #wake: (() => void) | undefined;
  #attempts = 0;
  #mayHaveRun = false;
  #isFinished = false;

  constructor(call: BufferedCall, context: RunContext) {
    this.#call = call;
    this.#context = context;
  }

  async result(): Promise<Result<AnswerHead, Refusal>> {
    const first = await this.#launch();
    if (first.isErr()) return err(first.error);
    this.#startTimers();
    const result = await this.#processEvents();
    this.#cleanUp(result.isOk() ? result.value.attempt : undefined);
    return result;
  }

  async #processEvents(): Promise<Result<AnswerHead, Refusal>> {
    for (;;) {
      const event = await this.#nextEvent();
      switch (event.kind) {
        case "caller-disconnected":
        case "deadline":
          return err(this.#cancelAsTimedOut());
        case "hedge-due":
          await this.#hedge();
          break;
        case "head": {
          const settled = await this.#settle(event);
          if (settled !== undefined) return settled;
        }
      }
    }
  }

  async #settle(
    event: Extract<RunEvent, { kind: "head" }>,
  ): Promise<Result<AnswerHead, Refusal> | undefined> {
    const { attempt, result } = event;
    this.#pending.delete(attempt);
    if (result.isOk()) {
      this.#context.clearSuspicion(this.#call);
      return ok({ attempt, response: result.value });
    }
    if (!provesNotRun(result.error)) this.#mayHaveRun = true;
    if (this.#pending.size > 0) return undefined;
    return await this.#retry(result.error);
  }

  /** Starts another attempt, or returns the refusal that ends the call. */
  async #retry(
    failure: AttemptFailure,
  ): Promise<Result<AnswerHead, Refusal> | undefined> {
    const { pool, isQuarantined } = this.#context;
    const mayRetry = !this.#call.isCallerRetry &&
      !isQuarantined(this.#call) &&
      pool.retryBudget.trySpend();
    if (!mayRetry) return err(this.#refusalFor(failure));
    this.#context.metrics.retries += 1;
    const next = await this.#launch();
    return next.isErr() ? err(this.#refusalFor(failure)) : undefined;
  }

  async #hedge(): Promise<void> {
    const { pool, metrics } = this.#context;
    if (this.#pending.size !== 1 || this.#call.isCallerRetry) return;
    if (!pool.hedgeBudget.trySpend()) return;
    metrics.hedges += 1;
    await this.#launch();
  }

  async #launch(): Promise<Result<Attempt, Refusal>> {
    this.#attempts += 1;
    const started = await this.#context.dispatcher.dispatch({
      call: this.#call,
      pool: this.#context.pool,
      tried: this.#tried,
      attemptNumber: this.#attempts,
      use: "repeatable",
    });
    if (started.isErr()) return started;
    this.#track(started.value);
    return started;
  }

  #track(attempt: Attempt): void {
    this.#pending.add(attempt);
    this.#tried.add(attempt.server.address);
    attempt.head.then((result) =>
      this.#emit({ kind: "head", attempt, result })
    );
    if (this.#isFinished) attempt.cancel();
  }

  #startTimers(): void {
    const { clock, pool, caller } = this.#context;
    const remainingMilliseconds = this.#call.deadlineAtMilliseconds - clock();
    this.#startTimer({ kind: "deadline" }, remainingMilliseconds);
    this.#startTimer({ kind: "hedge-due" }, pool.hedgeDelayMilliseconds());
    caller.setCloseListener(() => this.#emit({ kind: "caller-disconnected" }));
  }

  #startTimer(event: RunEvent, delayMilliseconds: number): void {
    const delay = Math.max(0, delayMilliseconds);
    this.#timers.push(setTimeout(() => this.#emit(event), delay));
  }

  #emit(event: RunEvent): void {
    this.#events.push(event);
    this.#wake?.();
  }

  async #nextEvent(): Promise<RunEvent> {
    for (;;) {
      const event = this.#events.shift();
      if (event !== undefined) return event;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }

  #cleanUp(winner: Attempt | undefined): void {
    this.#isFinished = true;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#context.caller.clearCloseListener();
    for (const attempt of this.#pending) {
      if (attempt !== winner) attempt.cancel();
    }
  }

  #cancelAsTimedOut(): Refusal {
    for (const attempt of this.#pending) attempt.cancel("timed-out");
    const detail = "The deadline passed before an answer came";
    return { reason: "deadline-exceeded", detail };
  }

  #refusalFor(failure: AttemptFailure): Refusal {
    if (this.#context.isQuarantined(this.#call)) {
      const detail = "The request broke the connections of backend servers";
      if (!this.#mayHaveRun) return { reason: "quarantined", detail };
      return { reason: "answer-lost", detail };
    }
    if (this.#mayHaveRun) {
      const detail = "The connection broke before the whole answer came";
      return { reason: "answer-lost", detail };
    }
    return refusalForNotRun(failure);
  }
}

/** The refusal for a failure that proves that the call did not run. */
export function refusalForNotRun(failure: AttemptFailure): Refusal {
  if (failure.kind === "refused") {
    const detail = `The backend server refused the call: ${failure.cause}`;
    return { reason: "backend-server-refused", detail };
  }
  const detail = "No connection to a backend server could be opened";
  return { reason: "connect-failed", detail };
}
