/**
 * Runs one protected call as the owner of its key: another backend server is
 * tried only if it is proved that the call did not run on the previous one.
 *
 * The run continues past the caller's deadline. It waits for a late answer for
 * a limited time, so that a resend of the key gets the stored answer.
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

/** How a run ended, and the refusal for its callers if there is no answer. */
export type ProtectedRunResult = {
  readonly end: RunEnd;
  readonly refusal?: Refusal;
  /** Whether the answer was streamed to the first caller. */
  readonly isStreamed: boolean;
};

type RunContext = {
  readonly pool: ServicePool;
  /** The first caller, to whom the answer is streamed as it arrives. */
  readonly caller: ServerResponse | undefined;
};

const MAXIMUM_ATTEMPTS = 4;

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
    for (let attemptNumber = 1;; attemptNumber++) {
      const started = await this.#options.dispatcher.dispatch({
        call,
        pool: context.pool,
        tried,
        attemptNumber,
        use: "protected",
      });
      if (started.isErr()) return notRun(lastRefusal ?? started.error);
      const attempt = started.value;
      tried.add(attempt.server.address);
      const head = await this.#awaitHead(attempt);
      if (head.isOk()) return await this.#collect(head.value, context);
      if (!provesNotRun(head.error)) return answerLost();
      const mayRetry = attemptNumber < MAXIMUM_ATTEMPTS &&
        !call.isCallerRetry &&
        context.pool.retryBudget.trySpend();
      lastRefusal = refusalForNotRun(head.error);
      if (!mayRetry) return notRun(lastRefusal);
      this.#options.metrics.retries += 1;
    }
  }

  #awaitHead(attempt: Attempt): Attempt["head"] {
    const { clock, lateAnswerMilliseconds } = this.#options;
    const remainingMilliseconds = attempt.call.deadlineAtMilliseconds - clock();
    const timeoutMilliseconds = Math.max(0, remainingMilliseconds) +
      lateAnswerMilliseconds;
    const timer = setTimeout(
      () => attempt.cancel("timed-out"),
      timeoutMilliseconds,
    );
    attempt.head.then(() => clearTimeout(timer));
    return attempt.head;
  }

  /** Streams the answer to the caller and stores it if it is short enough. */
  #collect(
    response: IncomingMessage,
    context: RunContext,
  ): Promise<ProtectedRunResult> {
    const recorder = new AnswerRecorder(response, {
      caller: context.caller,
      maximumBytes: this.#options.maximumAnswerBytes,
    });
    const timer = setTimeout(
      () => response.destroy(),
      ANSWER_BODY_TIMEOUT_MILLISECONDS,
    );
    return new Promise((resolve) => {
      response.once("close", () => {
        clearTimeout(timer);
        resolve(recorder.result());
      });
    });
  }
}

/** Time for the body of an answer, so that one that stalls is given up. */
const ANSWER_BODY_TIMEOUT_MILLISECONDS = 120_000;

type AnswerRecorderOptions = {
  readonly caller: ServerResponse | undefined;
  readonly maximumBytes: number;
};

/** Streams an answer to its caller, and records it if it is short enough. */
class AnswerRecorder {
  readonly #response: IncomingMessage;
  readonly #options: AnswerRecorderOptions;
  readonly #isStreamed: boolean;
  #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(response: IncomingMessage, options: AnswerRecorderOptions) {
    this.#response = response;
    this.#options = options;
    const caller = options.caller;
    this.#isStreamed = caller !== undefined && !caller.destroyed &&
      !caller.headersSent;
    if (this.#isStreamed) this.#writeHead();
    response.on("data", (chunk: Buffer) => this.#receive(chunk));
    response.on("error", () => {});
    response.once("close", () => this.#endCallerResponse());
  }

  result(): ProtectedRunResult {
    const isStreamed = this.#isStreamed;
    if (!this.#response.complete) return { ...answerLost(), isStreamed };
    if (this.#bytes > this.#options.maximumBytes) {
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

  #receive(chunk: Buffer): void {
    this.#bytes += chunk.byteLength;
    if (this.#bytes <= this.#options.maximumBytes) this.#chunks.push(chunk);
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

  #endCallerResponse(): void {
    if (!this.#isStreamed) return;
    if (this.#response.complete) this.#options.caller?.end();
    else this.#options.caller?.destroy();
  }
}

function notRun(refusal: Refusal): ProtectedRunResult {
  return { end: { kind: "not-run" }, refusal, isStreamed: false };
}

function answerLost(): ProtectedRunResult {
  const detail = "The answer was lost after the call had been sent";
  return {
    end: { kind: "unknown" },
    refusal: { reason: "answer-lost", detail },
    isStreamed: false,
  };
}
