/**
 * Answers protected calls, which run at most once for each idempotency key, at
 * whichever entry they arrive.
 *
 * The owner of a key runs the call or answers from its table. Any other entry
 * forwards to the owner, or to the successor that holds the owner's table. If
 * neither is reachable, the call is not run and its outcome is unknown.
 */
import type { ServerResponse } from "node:http";
import type {
  AdoptedDecision,
  AdoptedTables,
} from "@marigoldford/kernel/adopted_tables";
import {
  type IdempotencyKey,
  parseIdempotencyKey,
} from "@marigoldford/kernel/idempotency_key";
import { type KeyRoute, routeKey } from "@marigoldford/kernel/key_routing";
import type { KeyRoutingInputs } from "@marigoldford/kernel/key_routing";
import type {
  BeginDecision,
  BeginFailure,
  ProtectedCallTable,
  SettledWithoutAnswer,
  StoredAnswer,
} from "@marigoldford/kernel/protected_call_table";
import type { Refusal } from "@marigoldford/kernel/refusal";
import type { ServicePool } from "@marigoldford/kernel/service_pool";
import type { Clock } from "@marigoldford/kernel/types";
import { Logger } from "@marigoldford/logger/logger";
import type { BufferedCall } from "./incoming_call.ts";
import type {
  ProtectedRunner,
  ProtectedRunResult,
} from "./protected_runner.ts";

/** The result of a protected call. */
export type ProtectedOutcome =
  | { readonly kind: "answer"; readonly answer: StoredAnswer }
  | { readonly kind: "refusal"; readonly refusal: Refusal }
  /** The answer was already streamed to the caller. */
  | { readonly kind: "streamed" };

export type ForwardedCall = {
  readonly to: string;
  readonly call: BufferedCall;
  readonly key: IdempotencyKey;
};

export type ProtectedCallsOptions = {
  readonly clock: Clock;
  readonly table: ProtectedCallTable;
  readonly adopted: AdoptedTables;
  readonly runner: ProtectedRunner;
  readonly routingInputs: KeyRoutingInputs;
  readonly isQuarantined: (call: BufferedCall) => boolean;
  /** Whether a call that may take this long ends before the entry exits. */
  readonly endsBeforeExit: (timeLimitMilliseconds: number) => boolean;
  /** Forwards a call to the entry that owns its key or holds its record. */
  readonly forward: (
    forwarded: ForwardedCall,
  ) => Promise<ProtectedOutcome | undefined>;
};

export type ProtectedRequest = {
  readonly call: BufferedCall;
  readonly key: IdempotencyKey;
  /** Undefined if no service rule matches the call. */
  readonly pool: ServicePool | undefined;
  readonly caller: ServerResponse | undefined;
};

const DECISION_LOG = new Logger("decision");

/** Lets the run report the passed deadline before the caller is refused. */
const DEADLINE_GRACE_MILLISECONDS = 20;

export class ProtectedCalls {
  readonly #options: ProtectedCallsOptions;
  readonly #running = new Map<string, Promise<ProtectedRunResult>>();

  constructor(options: ProtectedCallsOptions) {
    this.#options = options;
  }

  /** Number of runs in progress. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Answers a call that a caller sent or a peer forwarded. */
  async handle(request: ProtectedRequest): Promise<ProtectedOutcome> {
    const { key } = request;
    const route = routeKey(key.owner, this.#options.routingInputs);
    DECISION_LOG.write("key-route", () => ({
      call: request.call.id,
      key: key.text,
      route: route.kind,
      to: route.kind === "forward" ? route.to : undefined,
    }));
    return await this.#withinDeadline(
      request,
      this.#answerByRoute(route, request),
    );
  }

  /** Waits for every run in progress. */
  async waitForRuns(): Promise<void> {
    await Promise.allSettled([...this.#running.values()]);
  }

  #answerByRoute(
    route: KeyRoute,
    request: ProtectedRequest,
  ): Promise<ProtectedOutcome> {
    switch (route.kind) {
      case "own":
        return this.#answerAsOwner(request);
      case "adopted":
        return Promise.resolve(this.#answerAsSuccessor(request));
      case "forward":
        return this.#forward(route.to, request);
      case "unreachable":
        return Promise.resolve(ownerUnreachable(request.key));
    }
  }

  async #forward(
    to: string,
    request: ProtectedRequest,
  ): Promise<ProtectedOutcome> {
    const { call, key } = request;
    const outcome = await this.#options.forward({ to, call, key });
    return outcome ?? ownerUnreachable(key);
  }

  #answerAsSuccessor(request: ProtectedRequest): ProtectedOutcome {
    const { key, call } = request;
    const decision = this.#options.adopted.decide(key.owner, {
      key,
      contentDigest: call.fingerprint(),
    });
    return outcomeOfAdopted(decision);
  }

  async #answerAsOwner(request: ProtectedRequest): Promise<ProtectedOutcome> {
    const { table } = this.#options;
    const { key, call } = request;
    const decision = table.begin(key, call.fingerprint());
    if (decision.isErr()) return refuse(refusalOfBegin(decision.error));
    switch (decision.value.kind) {
      case "run":
        return await this.#run(request);
      case "join":
        return await this.#join(request);
      case "replay":
      case "settled":
        return outcomeOfRecord(decision.value);
    }
  }

  async #run(request: ProtectedRequest): Promise<ProtectedOutcome> {
    const { key } = request;
    const run = this.#startRun(request);
    this.#running.set(key.text, run);
    const result = await run;
    return outcomeOfRun(result);
  }

  /** Starts the run; its end is stored before any caller is answered. */
  async #startRun(request: ProtectedRequest): Promise<ProtectedRunResult> {
    const result = await this.#runOrRefuse(request);
    this.#options.table.finish(request.key.text, result.end);
    this.#running.delete(request.key.text);
    return result;
  }

  async #runOrRefuse(request: ProtectedRequest): Promise<ProtectedRunResult> {
    const { call, pool, caller } = request;
    if (pool === undefined) {
      const detail = `No service rule matches ${call.method} ${call.path}`;
      return notRun({ reason: "no-service", detail });
    }
    if (this.#options.isQuarantined(call)) {
      const detail = "The request broke the connections of backend servers";
      return notRun({ reason: "quarantined", detail });
    }
    const { clock, endsBeforeExit } = this.#options;
    if (!endsBeforeExit(call.deadlineAtMilliseconds - clock())) {
      const detail = "This entry is leaving before the deadline of the call; " +
        "send it with a new key to another entry";
      return notRun({ reason: "entry-leaving", detail });
    }
    return await this.#options.runner.run(call, { pool, caller });
  }

  async #join(request: ProtectedRequest): Promise<ProtectedOutcome> {
    const run = this.#running.get(request.key.text);
    if (run === undefined) return refuse(deadlineExceeded());
    const result = await run;
    return outcomeOfRun({ ...result, isStreamed: false });
  }

  /** Refuses the caller at its deadline; the run continues. */
  #withinDeadline(
    request: ProtectedRequest,
    outcome: Promise<ProtectedOutcome>,
  ): Promise<ProtectedOutcome> {
    const { clock } = this.#options;
    const remainingMilliseconds = request.call.deadlineAtMilliseconds - clock();
    const timeoutMilliseconds = Math.max(0, remainingMilliseconds) +
      DEADLINE_GRACE_MILLISECONDS;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        if (request.caller?.headersSent) return;
        resolve(refuse(deadlineExceeded()));
      }, timeoutMilliseconds);
      outcome.then((value) => {
        clearTimeout(timer);
        resolve(value);
      });
    });
  }
}

/** Parses the key of a call, or returns the refusal for it. */
export function readKey(
  text: string | undefined,
): IdempotencyKey | Refusal {
  if (text === undefined) {
    const detail = "The call changes something and has no Idempotency-Key; " +
      "send it again with the key in Marigoldford-Suggested-Key";
    return { reason: "key-missing", detail };
  }
  const key = parseIdempotencyKey(text);
  if (key.isOk()) return key.value;
  const detail = `Idempotency-Key "${key.error.given}" is not ` +
    "<incarnation>.<expiry>.<unique part>";
  return { reason: "key-malformed", detail };
}

function refuse(refusal: Refusal): ProtectedOutcome {
  return { kind: "refusal", refusal };
}

function notRun(refusal: Refusal): ProtectedRunResult {
  return { end: { kind: "not-run" }, refusal, isStreamed: false };
}

function deadlineExceeded(): Refusal {
  const detail = "The deadline passed before an answer came; resend the same " +
    "key to learn the outcome";
  return { reason: "deadline-exceeded", detail };
}

function ownerUnreachable(key: IdempotencyKey): ProtectedOutcome {
  const detail = `Entry ${key.owner}, which owns the key, cannot be reached`;
  return refuse({ reason: "owner-unreachable", detail });
}

const BEGIN_REFUSALS: Readonly<Record<BeginFailure["kind"], string>> = {
  "key-expired": "The key has expired and will not be run",
  "key-not-issued": "The key's expiry was never issued by its owner",
  "table-full": "The table of protected calls has no room for a new key",
  "content-mismatch": "The key was first sent with another request",
};

function refusalOfBegin(failure: BeginFailure): Refusal {
  return { reason: failure.kind, detail: BEGIN_REFUSALS[failure.kind] };
}

const SETTLED_REFUSALS: Readonly<Record<SettledWithoutAnswer, Refusal>> = {
  "answer-not-kept": {
    reason: "answer-not-kept",
    detail: "The call was answered once; its answer was too long to keep",
  },
  "unknown": {
    reason: "answer-lost",
    detail: "The call was sent once and its answer was lost",
  },
  "closed": {
    reason: "key-closed",
    detail: "The key was refused as not run; use a new one",
  },
};

function outcomeOfRecord(
  decision: Extract<BeginDecision, { kind: "replay" | "settled" }>,
): ProtectedOutcome {
  if (decision.kind === "replay") {
    return { kind: "answer", answer: decision.answer };
  }
  return refuse(SETTLED_REFUSALS[decision.state]);
}

function outcomeOfAdopted(decision: AdoptedDecision): ProtectedOutcome {
  switch (decision.kind) {
    case "replay":
    case "settled":
      return outcomeOfRecord(decision);
    case "content-mismatch":
    case "key-expired":
      return refuse(refusalOfBegin({ kind: decision.kind }));
    case "never-seen":
      return refuse(SETTLED_REFUSALS.closed);
    case "run":
    case "join":
    case "incomplete": {
      const detail = "The owner's table has not been handed over whole";
      return refuse({ reason: "hand-over-incomplete", detail });
    }
  }
}

function outcomeOfRun(result: ProtectedRunResult): ProtectedOutcome {
  if (result.isStreamed) return { kind: "streamed" };
  if (result.refusal !== undefined) return refuse(result.refusal);
  switch (result.end.kind) {
    case "answered":
      return { kind: "answer", answer: result.end.answer };
    case "not-run":
      return refuse(SETTLED_REFUSALS.closed);
    case "answer-not-kept":
    case "unknown":
      return refuse(SETTLED_REFUSALS[result.end.kind]);
  }
}
