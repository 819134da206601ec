/**
 * The client library for callers: chooses an entry, fails over to others, mints
 * idempotency keys and resends calls where that is safe.
 *
 * All sends of a protected call use the same key. After `unknown` no new key is
 * minted, because only the caller can decide whether to repeat the call. After
 * `not-run` the key is closed permanently, so that a new key is safe.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
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
  /** Time that one entry has to answer with the list of entries. */
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
  /** Idempotency key of an earlier call, to resend that call. */
  readonly key?: string;
};

export type ClientAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly entry: Address;
  /** The idempotency key under which a protected call ran. */
  readonly key?: string | undefined;
};

/**
 * - `not-run`: the call is proved not to have run; it is safe to repeat it.
 * - `unknown`: the call may have run. Resend it with `key` to learn the
 *   outcome; a repetition without the key may run it twice.
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
const MAXIMUM_SENDS = 6;
const RETRY_DELAY_MILLISECONDS = 20;
/** Time for the entry to report by itself that the deadline has passed. */
const ANSWER_GRACE_MILLISECONDS = 100;
const PROBLEM_TYPE_PREFIX = "tag:marigoldford,2026:problem:";

/** Reasons of an unknown outcome that a resend of the same key may resolve. */
const REASONS_TO_RESEND_KEY: readonly string[] = [
  "deadline-exceeded",
  "owner-unreachable",
  "hand-over-incomplete",
];

/** Refusals after which another entry, or a later send, may succeed. */
const REASONS_TO_RETRY: readonly string[] = [
  "table-full",
  "queue-full",
  "entry-leaving",
  "entry-starting",
  "key-closed",
  "connect-failed",
  "backend-server-refused",
  "no-backend-server",
];

/** The result of one send. */
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

  /** Sends a call, and resends it while that is safe. */
  async call(call: ClientCall): Promise<Result<ClientAnswer, ClientFailure>> {
    const deadlineMilliseconds = call.deadlineMilliseconds ??
      this.#options.deadlineMilliseconds ??
      DEFAULT_CLIENT_OPTIONS.deadlineMilliseconds;
    const session = new CallSession(call, {
      clock: this.#clock,
      httpClient: this.#httpClient,
      endpoints: this.#endpoints,
      deadlineAtMilliseconds: this.#clock() + deadlineMilliseconds,
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
  readonly deadlineAtMilliseconds: number;
};

/** Sends one call, to one entry after another until the outcome is final. */
class CallSession {
  readonly #call: ClientCall;
  readonly #context: SessionContext;
  readonly #isProtected: boolean;
  #key: string | undefined;
  /**
   * Whether a send under the current key may have reached the key's owner, the
   * entry that the prefix of the key names.
   */
  #mayHaveRun = false;
  /** The failure of the last send. */
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
    for (let send = 0; send < MAXIMUM_SENDS; send++) {
      if (this.#remainingMilliseconds() <= 0) break;
      const endpoints = await this.#context.endpoints.inPreferenceOrder();
      if (endpoints.isErr()) return this.#noEntryResult(endpoints.error);
      const entry = endpoints.value[send % endpoints.value.length];
      const result = await this.#send(entry);
      if (result.kind === "done") return ok(result.answer);
      if (this.#recordFailure(result)) break;
      await sleep(RETRY_DELAY_MILLISECONDS);
    }
    return err(this.#finalFailure());
  }

  /** Records a failed send; returns whether no further send can help. */
  #recordFailure(result: Exclude<SendResult, { kind: "done" }>): boolean {
    switch (result.kind) {
      case "not-sent":
        this.#context.endpoints.clear();
        this.#setLastFailure("not-sent", result.detail);
        return false;
      case "lost":
        this.#context.endpoints.clear();
        this.#mayHaveRun = true;
        this.#setLastFailure("connection-lost", result.detail);
        return false;
      case "unknown":
        this.#mayHaveRun = true;
        this.#last = result.failure;
        return this.#isProtected &&
          !REASONS_TO_RESEND_KEY.includes(result.failure.reason);
      case "not-run":
        this.#last = result.failure;
        return this.#recordRefusal(result.failure);
    }
  }

  /**
   * Records a refusal; returns whether no further send can help. The owner
   * has closed the key, so that the next send may use a new one.
   */
  #recordRefusal(failure: CallFailure): boolean {
    this.#mayHaveRun = false;
    if (this.#call.key !== undefined) return true;
    this.#key = undefined;
    if (failure.reason === "entry-leaving") this.#context.endpoints.clear();
    return !REASONS_TO_RETRY.includes(failure.reason);
  }

  async #send(entry: EntryEndpoint): Promise<SendResult> {
    const { httpClient } = this.#context;
    if (this.#isProtected) this.#key ??= mintKey(entry.keyPrefix, randomUUID());
    const answer = await httpClient.send(entry.address, {
      method: this.#call.method,
      path: this.#call.path,
      headers: this.#headers(),
      body: toBuffer(this.#call.body),
      timeoutMilliseconds: Math.max(
        1,
        this.#remainingMilliseconds() + ANSWER_GRACE_MILLISECONDS,
      ),
    });
    if (answer.isOk()) return this.#readAnswer(answer.value, entry.address);
    const { mayHaveSentBytes, detail } = answer.error;
    return { kind: mayHaveSentBytes ? "lost" : "not-sent", detail };
  }

  #headers(): Record<string, string> {
    const headers: Record<string, string> = {
      ...this.#call.headers,
      "Marigoldford-Deadline-Milliseconds": String(
        Math.max(0, Math.floor(this.#remainingMilliseconds())),
      ),
    };
    if (this.#key !== undefined) headers["Idempotency-Key"] = this.#key;
    return headers;
  }

  #readAnswer(answer: HttpAnswer, entry: Address): SendResult {
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

  #setLastFailure(reason: string, detail: string): void {
    const kind = this.#mayHaveRun ? "unknown" : "not-run";
    this.#last = { kind, reason, detail, key: this.#key };
  }

  /** The outcome stays `unknown` while an earlier send may have run. */
  #finalFailure(): ClientFailure {
    if (!this.#mayHaveRun || this.#last.kind === "unknown") return this.#last;
    return { ...this.#last, kind: "unknown", key: this.#key };
  }

  #noEntryResult(failure: NoEntry): Result<ClientAnswer, ClientFailure> {
    if (!this.#mayHaveRun) return err(failure);
    const detail = `No entry answers at ${failure.asked.join(", ")}`;
    return err({ kind: "unknown", reason: "no-entry", detail, key: this.#key });
  }

  #remainingMilliseconds(): number {
    return this.#context.deadlineAtMilliseconds - this.#context.clock();
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

function toBuffer(body: string | Uint8Array | undefined): Buffer | undefined {
  if (body === undefined) return undefined;
  return typeof body === "string" ? Buffer.from(body) : Buffer.from(body);
}
