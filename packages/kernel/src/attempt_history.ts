/**
 * The attempts of one request: which servers were tried, how many got it, and
 * what the ended attempts prove. Second tries and the final word to the caller
 * follow from this alone.
 */
import {
  type AttemptEvidence,
  type FailureOutcome,
  failureOutcome,
  mayTryAnotherServer,
  proofOf,
  type RunProof,
} from "./attempt_outcome.ts";
import type { RouteKind } from "./routing_snapshot.ts";

/** What bounds the attempts of a request. */
export type AttemptLimits = {
  readonly kind: RouteKind;
  /** Backend servers that the request may reach. */
  readonly maximumAttempts: number;
  /** Whether the whole body is at hand to be sent again. */
  readonly isBodyBuffered: boolean;
};

export class AttemptHistory {
  readonly #tried = new Set<string>();
  readonly #proofs: RunProof[] = [];
  #running = 0;
  #serversReached = 0;

  /** Servers that an attempt was made at. */
  get tried(): ReadonlySet<string> {
    return this.#tried;
  }

  get attempts(): number {
    return this.#tried.size;
  }

  get running(): number {
    return this.#running;
  }

  recordStart(server: string): void {
    this.#tried.add(server);
    this.#running += 1;
  }

  /** Notes how an attempt ended. */
  recordEnd(evidence: AttemptEvidence): void {
    this.#running -= 1;
    const proof = proofOf(evidence);
    this.#proofs.push(proof);
    if (proof === "may-have-run" || evidence.kind === "refused-by-server") {
      this.#serversReached += 1;
    }
  }

  /** Whether a further server may get the request after those that failed. */
  mayRetry(limits: AttemptLimits, hasAnswerBegun: boolean): boolean {
    return mayTryAnotherServer({
      ...limits,
      proofs: this.#proofs,
      serversReached: this.#serversReached,
      hasAnswerBegun,
    });
  }

  /** Whether a further server may get the request beside the running ones. */
  mayHedge(
    { kind, maximumAttempts, isBodyBuffered: isBodyAtHand }: AttemptLimits,
  ): boolean {
    return kind !== "at-most-once" && isBodyAtHand &&
      this.#serversReached + this.#running < maximumAttempts;
  }

  /** What the caller may be told when no answer can be delivered. */
  outcome(isTimeUp: boolean): FailureOutcome {
    return failureOutcome(this.#proofs, isTimeUp);
  }
}
