/**
 * Runs one protected call as the owner of its key: another backend server is
 * tried only with proof that the call did not run on the last one.
 *
 * The run does not end with the caller's patience. It waits a while for a
 * late answer, so that a resend finds it stored.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  RunEnd,
  StoredAnswer,
} from "@marigoldford/kernel/protected_call_table";
import type { Refusal } from "@marigoldford/kernel/refusal";
import type { ServicePool } from "@marigoldford/kernel/service_pool";
import type { Address, Clock } from "@marigoldford/kernel/types";
import { type Attempt, provesNotRun } from "./attempt.ts";
import { forwardableHeaders } from "./attempt.ts";
import type { CallDispatcher } from "./call_dispatcher.ts";
import { type BufferedCall, OUTCOME_HEADER } from "./incoming_call.ts";
import type { EntryMetrics } from "./metrics.ts";
import { refusalForNotRun } from "./idempotent_calls.ts";

export type ProtectedRunnerOptions = {
  readonly clock: Clock;
  readonly dispatcher: CallDispatcher;
  readonly metrics: EntryMetrics;
  readonly lateAnswerMilliseconds: number;
  readonly maximumAnswerBytes: number;
};

/** How a run ended, and what its callers are told. */
export type ProtectedRunResult = {
  readonly end: RunEnd;
  readonly refusal?: Refusal;
  /** Whether the answer was already streamed to the first caller. */
  readonly isStreamed: boolean;
};

type RunContext = {
  readonly pool: ServicePool;
  /** The first caller; gets the answer as it arrives. */
  readonly caller: ServerResponse | undefined;
};

const MOST_ATTEMPTS = 4;

export class ProtectedRunner {
  readonly #options: ProtectedRunnerOptions;

  constructor(options: ProtectedRunnerOptions) {
    this.#options = options;
  }

  async run(
    call: BufferedCall,
    context: RunContext,
  ): Promise<ProtectedRunResult> {
    const tried = new Set<Address>();
    let lastRefusal: Refusal | undefined;
    for (let number = 1;; number++) {
      const placed = await this.#options.dispatcher.dispatch({
        call,
        pool: context.pool,
        tried,
        attemptNumber: number,
        use: "protected",
      });
      if (placed.isErr()) return notRun(lastRefusal ?? placed.error);
      const attempt = placed.value;
      tried.add(attempt.server.address);
      const head = await this.#awaitHead(attempt);
      if (head.isOk()) return await this.#collect(head.value, context);
      if (!provesNotRun(head.error)) return lost();
      const mayRetry = number < MOST_ATTEMPTS && !call.isCallerRetry &&
        context.pool.retryBudget.trySpend();
      lastRefusal = refusalForNotRun(head.error);
      if (!mayRetry) return notRun(lastRefusal);
      this.#options.metrics.retries += 1;
    }
  }

  #awaitHead(attempt: Attempt): Attempt["head"] {
    const { clock, lateAnswerMilliseconds } = this.#options;
    const timeLeft = attempt.call.deadlineAtMilliseconds - clock();
    const patience = Math.max(0, timeLeft) + lateAnswerMilliseconds;
    const timer = setTimeout(() => attempt.cancel("timed-out"), patience);
    attempt.head.then(() => clearTimeout(timer));
    return attempt.head;
  }

  /** Reads the answer, streams it to the caller and keeps it if it fits. */
  #collect(
    response: IncomingMessage,
    context: RunContext,
  ): Promise<ProtectedRunResult> {
    const tap = new AnswerTap(response, {
      caller: context.caller,
      mostBytes: this.#options.maximumAnswerBytes,
    });
    const timer = setTimeout(
      () => response.destroy(),
      LONGEST_ANSWER_MILLISECONDS,
    );
    return new Promise((resolve) => {
      response.once("close", () => {
        clearTimeout(timer);
        resolve(tap.result());
      });
    });
  }
}

/** Bound on an answer that began and then stalls. */
const LONGEST_ANSWER_MILLISECONDS = 120_000;

type TapOptions = {
  readonly caller: ServerResponse | undefined;
  readonly mostBytes: number;
};

/** Copies an answer to its caller while keeping up to a bound of it. */
class AnswerTap {
  readonly #response: IncomingMessage;
  readonly #options: TapOptions;
  readonly #isStreamed: boolean;
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(response: IncomingMessage, options: TapOptions) {
    this.#response = response;
    this.#options = options;
    const caller = options.caller;
    this.#isStreamed = caller !== undefined && !caller.destroyed &&
      !caller.headersSent;
    if (this.#isStreamed) this.#writeHead();
    response.on("data", (chunk: Buffer) => this.#take(chunk));
    response.on("error", () => {});
    response.once("close", () => this.#endCaller());
  }

  result(): ProtectedRunResult {
    const isStreamed = this.#isStreamed;
    if (!this.#response.complete) return { ...lost(), isStreamed };
    if (this.#bytes > this.#options.mostBytes) {
      return { end: { kind: "answer-not-kept" }, isStreamed };
    }
    return { end: { kind: "answered", answer: this.#answer() }, isStreamed };
  }

  #answer(): StoredAnswer {
    const contentType = this.#response.headers["content-type"] ?? "";
    const status = this.#response.statusCode ?? 0;
    return { status, contentType, body: Buffer.concat(this.#chunks) };
  }

  #writeHead(): void {
    this.#options.caller?.writeHead(this.#response.statusCode ?? 0, {
      ...forwardableHeaders(this.#response),
      [OUTCOME_HEADER]: "answered",
    });
  }

  #take(chunk: Buffer): void {
    this.#bytes += chunk.byteLength;
    if (this.#bytes <= this.#options.mostBytes) this.#chunks.push(chunk);
    else this.#chunks = [];
    if (!this.#isStreamed) return;
    const caller = this.#options.caller;
    if (caller === undefined || caller.destroyed) return;
    if (caller.write(chunk)) return;
    this.#pauseUntilDrained(caller);
  }

  #pauseUntilDrained(caller: ServerResponse): void {
    const resume = () => {
      caller.off("drain", resume);
      caller.off("close", resume);
      this.#response.resume();
    };
    this.#response.pause();
    caller.once("drain", resume);
    caller.once("close", resume);
  }

  #endCaller(): void {
    if (!this.#isStreamed) return;
    if (this.#response.complete) this.#options.caller?.end();
    else this.#options.caller?.destroy();
  }
}

function notRun(refusal: Refusal): ProtectedRunResult {
  return { end: { kind: "not-run" }, refusal, isStreamed: false };
}

function lost(): ProtectedRunResult {
  const detail = "The answer was lost after the call had been sent";
  return {
    end: { kind: "unknown" },
    refusal: { reason: "answer-lost", detail },
    isStreamed: false,
  };
}
