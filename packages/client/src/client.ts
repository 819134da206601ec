/**
 * The caller's library: chooses an entry, fails over, mints idempotency keys
 * and resends safely.
 *
 * A protected action keeps one key over all resends. After `unknown` no second
 * key is ever minted: whether to start the action anew is the caller's own
 * decision. After `not-run` the key is closed for good, so a new key is safe.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import type { EntryEndpoint } from "@marigoldford/kernel/entry_endpoint";
import { mintKey } from "@marigoldford/kernel/idempotency_key";
import type { Address, Clock, RandomSource } from "@marigoldford/kernel/types";
import { EntryEndpoints } from "./entry_endpoints.ts";
import type { NoEntry } from "./entry_endpoints.ts";
import type { HttpAnswer } from "./http_client.ts";
import { HttpClient } from "./http_client.ts";

export type ClientOptions = {
  readonly seeds: readonly Address[];
  readonly failureDomain?: string;
  readonly deadlineMilliseconds?: number;
  readonly entryListTimeoutMilliseconds?: number;
  readonly clock?: Clock;
  readonly random?: RandomSource;
};

export type ClientCall = {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  readonly deadlineMilliseconds?: number;
  /** The key of an earlier send of the same action. */
  readonly key?: string;
};

export type ClientAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly entry: Address;
  /** The key under which a protected action ran. */
  readonly key?: string | undefined;
};

/**
 * - `not-run`: proved; it is safe to start the action anew.
 * - `unknown`: resend with `key` to learn more; never start anew by yourself.
 */
export type ClientFailure = NoEntry | {
  readonly kind: "not-run" | "unknown";
  readonly reason: string;
  readonly detail: string;
  readonly key?: string | undefined;
};

export const DEFAULT_CLIENT_OPTIONS = {
  deadlineMilliseconds: 2_000,
  entryListTimeoutMilliseconds: 500,
} as const;

const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];
const MOST_SENDS = 6;
const RETRY_PAUSE_MILLISECONDS = 20;
/** The entry says itself that the deadline passed, a little after it did. */
const ANSWER_GRACE_MILLISECONDS = 100;
const PROBLEM_TYPE_PREFIX = "tag:marigoldford,2026:problem:";

/** Refusals that a resend of the same key may resolve. */
const REASONS_TO_ASK_AGAIN: readonly string[] = [
  "deadline-exceeded",
  "owner-unreachable",
  "hand-over-incomplete",
];

/** Refusals after which another entry or another moment may do better. */
const REASONS_TO_TRY_AGAIN: readonly string[] = [
  "table-full",
  "queue-full",
  "entry-leaving",
  "entry-starting",
  "key-closed",
  "connect-failed",
  "backend-server-refused",
  "no-backend-server",
];

/** What one send came to. */
type SendResult =
  | { readonly kind: "done"; readonly answer: ClientAnswer }
  | { readonly kind: "not-run" | "unknown"; readonly failure: CallFailure }
  | { readonly kind: "not-sent" | "lost"; readonly detail: string };

type CallFailure = Exclude<ClientFailure, NoEntry>;

export class MarigoldfordClient {
  readonly #options: ClientOptions;
  readonly #clock: Clock;
  readonly #httpClient = new HttpClient();
  readonly #endpoints: EntryEndpoints;

  constructor(options: ClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? (() => performance.now());
    this.#endpoints = new EntryEndpoints({
      seeds: options.seeds,
      failureDomain: options.failureDomain,
      httpClient: this.#httpClient,
      clock: this.#clock,
      random: options.random ?? Math.random,
      entryListTimeoutMilliseconds: options.entryListTimeoutMilliseconds ??
        DEFAULT_CLIENT_OPTIONS.entryListTimeoutMilliseconds,
    });
  }

  /** Sends a call and resends it as far as that is safe. */
  async call(call: ClientCall): Promise<Result<ClientAnswer, ClientFailure>> {
    const deadline = call.deadlineMilliseconds ??
      this.#options.deadlineMilliseconds ??
      DEFAULT_CLIENT_OPTIONS.deadlineMilliseconds;
    const session = new CallSession(call, {
      clock: this.#clock,
      httpClient: this.#httpClient,
      endpoints: this.#endpoints,
      deadlineAt: this.#clock() + deadline,
    });
    return await session.run();
  }

  close(): void {
    this.#httpClient.close();
  }
}

type SessionContext = {
  readonly clock: Clock;
  readonly httpClient: HttpClient;
  readonly endpoints: EntryEndpoints;
  readonly deadlineAt: number;
};

/** All sends of one call. */
class CallSession {
  readonly #call: ClientCall;
  readonly #context: SessionContext;
  readonly #isProtected: boolean;
  #key: string | undefined;
  /** Whether a send under the current key may have reached its owner. */
  #mayHaveRun = false;
  #last: CallFailure = {
    kind: "not-run",
    reason: "no-time",
    detail: "No time was left to send the call",
  };

  constructor(call: ClientCall, context: SessionContext) {
    this.#call = call;
    this.#context = context;
    this.#key = call.key;
    this.#isProtected = call.key !== undefined ||
      !SAFE_METHODS.includes(call.method);
    this.#mayHaveRun = call.key !== undefined;
  }

  async run(): Promise<Result<ClientAnswer, ClientFailure>> {
    for (let send = 0; send < MOST_SENDS; send++) {
      if (this.#timeLeft() <= 0) break;
      const endpoints = await this.#context.endpoints.inPreferenceOrder();
      if (endpoints.isErr()) return this.#withoutEntry(endpoints.error);
      const entry = endpoints.value[send % endpoints.value.length];
      const result = await this.#send(entry);
      if (result.kind === "done") return ok(result.answer);
      if (this.#isFinal(result)) break;
      await pause(RETRY_PAUSE_MILLISECONDS);
    }
    return err(this.#failure());
  }

  /** Notes a failed send; returns whether no other send can help. */
  #isFinal(result: Exclude<SendResult, { kind: "done" }>): boolean {
    switch (result.kind) {
      case "not-sent":
        this.#context.endpoints.clear();
        this.#note("not-sent", result.detail);
        return false;
      case "lost":
        this.#context.endpoints.clear();
        this.#mayHaveRun = true;
        this.#note("connection-lost", result.detail);
        return false;
      case "unknown":
        this.#mayHaveRun = true;
        this.#last = result.failure;
        return this.#isProtected &&
          !REASONS_TO_ASK_AGAIN.includes(result.failure.reason);
      case "not-run":
        this.#last = result.failure;
        return this.#isFinalRefusal(result.failure);
    }
  }

  /** The owner has closed the key, so the next send may use a new one. */
  #isFinalRefusal(failure: CallFailure): boolean {
    this.#mayHaveRun = false;
    if (this.#call.key !== undefined) return true;
    this.#key = undefined;
    if (failure.reason === "entry-leaving") this.#context.endpoints.clear();
    return !REASONS_TO_TRY_AGAIN.includes(failure.reason);
  }

  async #send(entry: EntryEndpoint): Promise<SendResult> {
    const { httpClient } = this.#context;
    if (this.#isProtected) this.#key ??= mintKey(entry.keyPrefix, randomUUID());
    const answer = await httpClient.send(entry.address, {
      method: this.#call.method,
      path: this.#call.path,
      headers: this.#headers(),
      body: bodyOf(this.#call.body),
      timeoutMilliseconds: Math.max(
        1,
        this.#timeLeft() + ANSWER_GRACE_MILLISECONDS,
      ),
    });
    if (answer.isOk()) return this.#read(answer.value, entry.address);
    const { mayHaveSentBytes, detail } = answer.error;
    return { kind: mayHaveSentBytes ? "lost" : "not-sent", detail };
  }

  #headers(): Record<string, string> {
    const headers: Record<string, string> = {
      ...this.#call.headers,
      "Marigoldford-Deadline-Milliseconds": String(
        Math.max(0, Math.floor(this.#timeLeft())),
      ),
    };
    if (this.#key !== undefined) headers["Idempotency-Key"] = this.#key;
    return headers;
  }

  #read(answer: HttpAnswer, entry: Address): SendResult {
    const outcome = answer.headers["marigoldford-outcome"];
    if (outcome === "not-run" || outcome === "unknown") {
      return { kind: outcome, failure: this.#readRefusal(answer, outcome) };
    }
    return {
      kind: "done",
      answer: {
        status: answer.status,
        contentType: answer.headers["content-type"] ?? "",
        body: answer.body,
        entry,
        key: this.#key,
      },
    };
  }

  #readRefusal(
    answer: HttpAnswer,
    kind: "not-run" | "unknown",
  ): CallFailure {
    const problem = parseProblem(answer.body.toString());
    const reason = problem.type.replace(PROBLEM_TYPE_PREFIX, "");
    return { kind, reason, detail: problem.detail, key: this.#key };
  }

  #note(reason: string, detail: string): void {
    const kind = this.#mayHaveRun ? "unknown" : "not-run";
    this.#last = { kind, reason, detail, key: this.#key };
  }

  /** A later proof about another send never hides an open outcome. */
  #failure(): ClientFailure {
    if (!this.#mayHaveRun || this.#last.kind === "unknown") return this.#last;
    return { ...this.#last, kind: "unknown", key: this.#key };
  }

  #withoutEntry(failure: NoEntry): Result<ClientAnswer, ClientFailure> {
    if (!this.#mayHaveRun) return err(failure);
    const detail = `No entry answers at ${failure.asked.join(", ")}`;
    return err({ kind: "unknown", reason: "no-entry", detail, key: this.#key });
  }

  #timeLeft(): number {
    return this.#context.deadlineAt - this.#context.clock();
  }
}

type Problem = { readonly type: string; readonly detail: string };

function parseProblem(text: string): Problem {
  try {
    const value = JSON.parse(text) as Partial<Problem>;
    return { type: value.type ?? "", detail: value.detail ?? "" };
  } catch {
    return { type: "malformed-refusal", detail: text.slice(0, 200) };
  }
}

function bodyOf(body: string | Uint8Array | undefined): Buffer | undefined {
  if (body === undefined) return undefined;
  return typeof body === "string" ? Buffer.from(body) : Buffer.from(body);
}
