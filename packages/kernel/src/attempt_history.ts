/**
 * History of the attempts of one request: the servers that were tried, how many
 * of them the request reached, and what the ended attempts prove. Retries,
 * hedges and the outcome reported to the caller depend on nothing else.
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

/** Limits on the attempts of a request. */
export type AttemptLimits = {
  readonly kind: RouteKind;
  /** Maximum number of backend servers that the request may reach. */
  readonly maximumAttempts: number;
  /** Whether the whole body is in memory and can be sent again. */
  readonly isBodyBuffered: boolean;
};

export class AttemptHistory {
  readonly #tried = new Set<string>();
  readonly #proofs: RunProof[] = [];
  #running = 0;
  #serversReached = 0;

  /** Servers that an attempt was started on. */
  get tried(): ReadonlySet<string> {
    return this.#tried;
  }

  get attempts(): number {
    return this.#tried.size;
  }

  /** Backend servers to which any byte of the request was sent. */
  get serversReached(): number {
    return this.#serversReached;
  }

  get running(): number {
    return this.#running;
  }

  recordStart(server: string): void {
    this.#tried.add(server);
    this.#running += 1;
  }

  recordEnd(evidence: AttemptEvidence): void {
    this.#running -= 1;
    const proof = proofOf(evidence);
    this.#proofs.push(proof);
    if (proof === "may-have-run" || evidence.kind === "refused-by-server") {
      this.#serversReached += 1;
    }
  }

  /**
   * Whether the request may be sent to another server after failed attempts.
   */
  mayRetry(limits: AttemptLimits, hasAnswerBegun: boolean): boolean {
    return mayTryAnotherServer({
      ...limits,
      proofs: this.#proofs,
      serversReached: this.#serversReached,
      hasAnswerBegun,
    });
  }

  /**
   * Whether the request may be sent to another server while an attempt is
   * running.
   */
  mayHedge(
    { kind, maximumAttempts, isBodyBuffered }: AttemptLimits,
  ): boolean {
    return kind !== "at-most-once" && isBodyBuffered &&
      this.#serversReached + this.#running < maximumAttempts;
  }

  /** Outcome that may be reported when no answer can be delivered. */
  outcome(isTimeUp: boolean): FailureOutcome {
    return failureOutcome(this.#proofs, isTimeUp);
  }
}
