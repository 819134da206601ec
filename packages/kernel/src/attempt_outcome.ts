/**
 * What an attempt on a backend server proves, and which retries and outcomes
 * that permits.
 *
 * A request counts as not run only on one of two proofs: no byte of it was
 * passed to a connection, or the backend server itself said that it did not
 * execute it, to this entry or to the peer that passed the request on. Nothing else, however likely, permits the outcome `not-run` or
 * the retry of an at-most-once request.
 */
import type { RouteKind } from "./routing_snapshot.ts";

/** How an attempt ended. */
export type AttemptEvidence =
  | { readonly kind: "not-connected" }
  | { readonly kind: "refused-by-server"; readonly status: number }
  /** A peer said that it sent the request to no server that ran it. */
  | { readonly kind: "refused-by-peer"; readonly status: number }
  | { readonly kind: "broken"; readonly hadAnswerBegun: boolean }
  | { readonly kind: "timed-out" }
  | { readonly kind: "unusable-answer"; readonly why: string }
  | { readonly kind: "cancelled" }
  | { readonly kind: "answered"; readonly status: number };

export type RunProof = "not-run" | "may-have-run";

/** Whether the request may have run in an attempt that ended like this. */
export function proofOf(evidence: AttemptEvidence): RunProof {
  switch (evidence.kind) {
    case "not-connected":
    case "refused-by-server":
    case "refused-by-peer":
      return "not-run";
    case "broken":
    case "timed-out":
    case "unusable-answer":
    case "cancelled":
    case "answered":
      return "may-have-run";
  }
}

/** Whether the request may have run in any of its attempts. */
export function combineProofs(proofs: readonly RunProof[]): RunProof {
  return proofs.includes("may-have-run") ? "may-have-run" : "not-run";
}

export type RequestProgress = {
  readonly kind: RouteKind;
  readonly proofs: readonly RunProof[];
  /** Number of backend servers to which any byte of the request was sent. */
  readonly serversReached: number;
  readonly maximumAttempts: number;
  /** Whether the whole body is in memory and can be sent again. */
  readonly isBodyBuffered: boolean;
  readonly hasAnswerBegun: boolean;
};

/** Whether the request may be sent to another backend server. */
export function mayTryAnotherServer(progress: RequestProgress): boolean {
  if (progress.hasAnswerBegun || !progress.isBodyBuffered) return false;
  if (progress.serversReached >= progress.maximumAttempts) return false;
  if (progress.kind !== "at-most-once") return true;
  return combineProofs(progress.proofs) === "not-run";
}

/** Outcome reported to a caller when no answer can be delivered. */
export type FailureOutcome =
  | "not-run"
  | "unknown-broken"
  | "unknown-timed-out";

/** Outcome to report after the last attempt failed. */
export function failureOutcome(
  proofs: readonly RunProof[],
  isTimeUp: boolean,
): FailureOutcome {
  if (combineProofs(proofs) === "not-run") return "not-run";
  return isTimeUp ? "unknown-timed-out" : "unknown-broken";
}
