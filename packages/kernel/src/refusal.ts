/**
 * The reasons for which an entry refuses a call, each with its HTTP status and
 * the outcome that the refusal asserts.
 *
 * A refusal asserts `not-run` only with one of two proofs: no byte of the
 * request was written to a connection, or the backend server itself refused
 * before execution. All other refusals assert `unknown`.
 */
import type { Outcome } from "./types.ts";

export type NotRunReason =
  | "malformed-request"
  | "no-service"
  | "body-too-large"
  | "key-missing"
  | "key-malformed"
  | "key-closed"
  | "table-full"
  | "deadline-passed"
  | "queue-full"
  | "no-backend-server"
  | "quarantined"
  | "entry-leaving"
  | "entry-starting"
  | "backend-server-refused"
  | "connect-failed";

export type UnknownReason =
  | "key-expired"
  | "key-not-issued"
  | "owner-unreachable"
  | "hand-over-incomplete"
  | "content-mismatch"
  | "answer-lost"
  | "deadline-exceeded"
  | "answer-not-kept"
  | "keyed-body-too-large"
  | "keyed-malformed-request";

export type RefusalReason = NotRunReason | UnknownReason;

/** The proof for the outcome of a refusal. */
export type RefusalProof =
  | "no-byte-sent"
  | "backend-server-refusal"
  | "none";

export type RefusalRule = {
  readonly status: number;
  readonly outcome: Exclude<Outcome, "answered">;
  readonly proof: RefusalProof;
  readonly title: string;
  readonly retryAfterSeconds?: number;
};

type NotRunProof = Exclude<RefusalProof, "none">;

function notRun(
  status: number,
  title: string,
  options: { proof?: NotRunProof; retryAfterSeconds?: number } = {},
): RefusalRule {
  const proof = options.proof ?? "no-byte-sent";
  const rule: RefusalRule = { status, title, proof, outcome: "not-run" };
  if (options.retryAfterSeconds === undefined) return rule;
  return { ...rule, retryAfterSeconds: options.retryAfterSeconds };
}

function unknown(status: number, title: string): RefusalRule {
  return { status, title, proof: "none", outcome: "unknown" };
}

/** The status, outcome and proof of each refusal reason. */
export const REFUSAL_RULES: Readonly<Record<RefusalReason, RefusalRule>> = {
  "malformed-request": notRun(400, "The request is malformed"),
  "no-service": notRun(404, "No service rule matches the request"),
  "body-too-large": notRun(413, "The body is longer than the limit"),
  "key-missing": notRun(428, "A protected call needs an idempotency key"),
  "key-malformed": notRun(400, "The idempotency key is malformed"),
  "key-closed": notRun(409, "The key was refused before and will never run"),
  "table-full": notRun(503, "The table of protected calls is full", {
    retryAfterSeconds: 1,
  }),
  "deadline-passed": notRun(504, "The deadline passed before dispatch"),
  "queue-full": notRun(503, "The call would wait past its deadline", {
    retryAfterSeconds: 1,
  }),
  "no-backend-server": notRun(503, "No backend server may take the call", {
    retryAfterSeconds: 1,
  }),
  "quarantined": notRun(503, "The request coincided with repeated crashes", {
    retryAfterSeconds: 30,
  }),
  "entry-leaving": notRun(503, "This entry is leaving", {
    retryAfterSeconds: 0,
  }),
  "entry-starting": notRun(503, "This entry has no intentions yet", {
    retryAfterSeconds: 1,
  }),
  "backend-server-refused": notRun(503, "Each backend server asked refused", {
    proof: "backend-server-refusal",
    retryAfterSeconds: 1,
  }),
  "connect-failed": notRun(503, "No backend server accepted a connection", {
    retryAfterSeconds: 1,
  }),
  "key-expired": unknown(410, "The idempotency key has expired"),
  "key-not-issued": unknown(400, "The owner never issued this key's expiry"),
  "owner-unreachable": unknown(503, "The owner of the key is unreachable"),
  "hand-over-incomplete": unknown(503, "The owner's hand-over is incomplete"),
  "content-mismatch": unknown(422, "The key belongs to another request"),
  "answer-lost": unknown(502, "The answer of the backend server was lost"),
  "deadline-exceeded": unknown(504, "The deadline passed after dispatch"),
  "keyed-body-too-large": unknown(413, "The body is longer than the limit"),
  "keyed-malformed-request": unknown(400, "The request is malformed"),
  "answer-not-kept": unknown(409, "The call ended but its answer is not kept"),
};

export type Refusal = {
  readonly reason: RefusalReason;
  /** What was wrong and what the caller can do about it, in one sentence. */
  readonly detail: string;
};

/** The outcome that a refusal for this reason asserts. */
export function outcomeOf(reason: RefusalReason): "not-run" | "unknown" {
  return REFUSAL_RULES[reason].outcome;
}
