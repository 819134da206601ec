/**
 * A call as received from a caller, with its deadline and its fingerprint.
 */
import { createHash, randomUUID } from "node:crypto";
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "@marigoldford/kernel/refusal";

export const DEADLINE_HEADER = "marigoldford-deadline-milliseconds";
export const ATTEMPT_HEADER = "marigoldford-attempt";
export const KEY_HEADER = "idempotency-key";
export const OUTCOME_HEADER = "Marigoldford-Outcome";
export const SUGGESTED_KEY_HEADER = "Marigoldford-Suggested-Key";

export type IncomingCall = {
  readonly id: string;
  readonly method: string;
  /** Path with its query string. */
  readonly path: string;
  readonly host: string;
  readonly headers: IncomingHttpHeaders;
  readonly deadlineAtMilliseconds: number;
  /** Whether the call is marked as a retry by an earlier layer. */
  readonly isCallerRetry: boolean;
  readonly key: string | undefined;
};

/** A call whose complete body is held in memory. */
export type BufferedCall = IncomingCall & {
  readonly body: Buffer;
  /** Digest that is equal for resends of a request; computed on first use. */
  readonly fingerprint: () => string;
};

export type DeadlineBounds = {
  readonly nowMilliseconds: number;
  readonly defaultMilliseconds: number;
  readonly maximumMilliseconds: number;
};

/** Reads method, path, deadline and key from a request. */
export function readIncomingCall(
  request: IncomingMessage,
  bounds: DeadlineBounds,
): Result<IncomingCall, Refusal> {
  const deadline = readDeadline(request.headers, bounds);
  if (deadline.isErr()) return err(deadline.error);
  const key = request.headers[KEY_HEADER];
  return ok({
    id: randomUUID(),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    host: hostOf(request.headers),
    headers: request.headers,
    deadlineAtMilliseconds: bounds.nowMilliseconds + deadline.value,
    isCallerRetry: Number(request.headers[ATTEMPT_HEADER] ?? 1) > 1,
    key: typeof key === "string" ? key : undefined,
  });
}

/** Adds the body, and the fingerprint that `digestCall` computes. */
export function withBody(call: IncomingCall, body: Buffer): BufferedCall {
  let digest: string | undefined;
  function fingerprint(): string {
    digest ??= digestCall(call, body);
    return digest;
  }
  return { ...call, body, fingerprint };
}

/** Digest over method, host, path and body; equal for an exact resend. */
export function digestCall(
  call: {
    readonly method: string;
    readonly host: string;
    readonly path: string;
  },
  body: Uint8Array,
): string {
  const hash = createHash("sha1");
  hash.update(`${call.method}\n${call.host}\n${call.path}\n`);
  hash.update(body);
  return hash.digest("base64url");
}

function hostOf(headers: IncomingHttpHeaders): string {
  return (headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}

function readDeadline(
  headers: IncomingHttpHeaders,
  bounds: DeadlineBounds,
): Result<number, Refusal> {
  const given = headers[DEADLINE_HEADER];
  if (given === undefined) return ok(bounds.defaultMilliseconds);
  const value = Number(given);
  if (Number.isFinite(value) && String(given).trim() !== "") {
    return ok(Math.min(value, bounds.maximumMilliseconds));
  }
  const detail =
    `Header ${DEADLINE_HEADER} is "${given}"; expected milliseconds as a number`;
  const isKeyed = headers[KEY_HEADER] !== undefined;
  const reason = isKeyed ? "keyed-malformed-request" : "malformed-request";
  return err({ reason, detail });
}
