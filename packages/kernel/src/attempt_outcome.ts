/**
 * What an attempt at a backend server proves, and what may follow from it.
 *
 * A request counts as not run only with one of two proofs: no byte of it was
 * handed to a connection, or the backend server itself said that it did not
 * execute it. Nothing else, however likely, allows a refusal that promises
 * `not-run` or a second try of a request that may run once.
 */
import type { RouteKind } from "./routing_snapshot.ts";

/** How far an attempt had come when it ended. */
export type AttemptEvidence =
  | { readonly kind: "not-connected" }
  | { readonly kind: "refused-by-server"; readonly status: number }
  | { readonly kind: "broken"; readonly hadAnswerBegun: boolean }
  | { readonly kind: "timed-out" }
  | { readonly kind: "unusable-answer"; readonly why: string }
  | { readonly kind: "cancelled" }
  | { readonly kind: "answered"; readonly status: number };

export type RunProof = "not-run" | "may-have-run";

/** What the evidence of one attempt proves. */
export function proofOf(evidence: AttemptEvidence): RunProof {
  switch (evidence.kind) {
    case "not-connected":
    case "refused-by-server":
      return "not-run";
    case "broken":
    case "timed-out":
    case "unusable-answer":
    case "cancelled":
    case "answered":
      return "may-have-run";
  }
}

/** Proof over all attempts of one request. */
export function combineProofs(proofs: readonly RunProof[]): RunProof {
  return proofs.includes("may-have-run") ? "may-have-run" : "not-run";
}

export type RequestProgress = {
  readonly kind: RouteKind;
  readonly proofs: readonly RunProof[];
  /** Backend servers to which a byte of the request was handed. */
  readonly serversReached: number;
  readonly maximumAttempts: number;
  /** Whether the whole body is at hand to be sent again. */
  readonly isBodyBuffered: boolean;
  readonly hasAnswerBegun: boolean;
};

/** Whether another backend server may be tried. */
export function mayTryAnotherServer(progress: RequestProgress): boolean {
  if (progress.hasAnswerBegun || !progress.isBodyBuffered) return false;
  if (progress.serversReached >= progress.maximumAttempts) return false;
  if (progress.kind !== "at-most-once") return true;
  return combineProofs(progress.proofs) === "not-run";
}

/** The outcome that a caller may be told when no answer can be delivered. */
export type FailureOutcome =
  | "not-run"
  | "unknown-broken"
  | "unknown-timed-out";

/** What to tell the caller after the last attempt failed. */
export function failureOutcome(
  proofs: readonly RunProof[],
  isTimeUp: boolean,
): FailureOutcome {
  if (combineProofs(proofs) === "not-run") return "not-run";
  return isTimeUp ? "unknown-timed-out" : "unknown-broken";
}
