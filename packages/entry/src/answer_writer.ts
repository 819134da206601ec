/**
 * Writes answers and refusals to callers.
 *
 * Refusals are `application/problem+json` (RFC 9457) with the outcome both in
 * the body and in a header. If the backend server's answer is truncated, the
 * caller's connection is destroyed, so that the answer never looks complete.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { endAfterRequest } from "@marigoldford/http_answers/end_after_request";
import { type Refusal, REFUSAL_RULES } from "@marigoldford/kernel/refusal";
import type { StoredAnswer } from "@marigoldford/kernel/protected_call_table";
import { forwardableHeaders } from "./attempt.ts";
import { OUTCOME_HEADER, SUGGESTED_KEY_HEADER } from "./incoming_call.ts";

const PROBLEM_TYPE_PREFIX = "tag:marigoldford,2026:problem:";

/** Writes a refusal; `suggestedKey` is the idempotency key to retry with. */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal & { readonly suggestedKey?: string },
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const rule = REFUSAL_RULES[refusal.reason];
  response.setHeader(OUTCOME_HEADER, rule.outcome);
  if (rule.retryAfterSeconds !== undefined) {
    response.setHeader("Retry-After", rule.retryAfterSeconds);
  }
  if (refusal.suggestedKey !== undefined) {
    response.setHeader(SUGGESTED_KEY_HEADER, refusal.suggestedKey);
  }
  writeJson(response, {
    status: rule.status,
    contentType: "application/problem+json",
    value: {
      type: PROBLEM_TYPE_PREFIX + refusal.reason,
      title: rule.title,
      status: rule.status,
      detail: refusal.detail,
      outcome: rule.outcome,
      proof: rule.proof,
    },
  });
}

export type JsonAnswer = {
  readonly status: number;
  readonly contentType?: string;
  readonly value: unknown;
};

/** Writes a JSON answer with its content length. */
export function writeJson(response: ServerResponse, answer: JsonAnswer): void {
  const body = Buffer.from(JSON.stringify(answer.value) + "\n");
  response.writeHead(answer.status, {
    "Content-Type": answer.contentType ?? "application/json",
    "Content-Length": body.byteLength,
  });
  endAfterRequest(response, body);
}

/** Replays a stored answer. */
export function writeStoredAnswer(
  response: ServerResponse,
  answer: StoredAnswer,
): void {
  if (response.destroyed) return;
  response.writeHead(answer.status, {
    [OUTCOME_HEADER]: "answered",
    "Content-Type": answer.contentType,
    "Content-Length": answer.body.byteLength,
  });
  response.end(answer.body);
}

/** Streams an answer to the caller; backpressure bounds the memory used. */
export function streamAnswer(
  backendResponse: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(backendResponse.statusCode ?? 502, {
    ...forwardableHeaders(backendResponse),
    [OUTCOME_HEADER]: "answered",
  });
  backendResponse.pipe(response);
  backendResponse.once("close", () => {
    if (!backendResponse.complete) response.destroy();
  });
}
