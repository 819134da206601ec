/**
 * Writes the log lines of one request, with the inputs of its placements, and
 * updates the counters.
 */
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { ServiceName } from "@marigoldford/kernel/types";
import type { Refusal } from "./admission.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import type { ServerAttempt } from "./server_attempt.ts";

/** State of the request so far, as it is logged. */
export type ExchangeProgress = {
  readonly attempts: number;
  readonly elapsedMilliseconds: number;
  /** Time from arrival to the first attempt. */
  readonly waitedMilliseconds: number;
};

export class ExchangeLog {
  readonly #context: ExchangeContext;
  readonly #requestId: string;

  constructor(context: ExchangeContext, requestId: string) {
    this.#context = context;
    this.#requestId = requestId;
  }

  attemptStarted(
    attempt: ServerAttempt,
    why: string,
    candidates: number,
  ): void {
    this.#context.writeEvent({
      event: "attempt-started",
      request: this.#requestId,
      server: attempt.server.registration.id,
      why,
      candidates,
      ...attempt.placementInputs,
    });
  }

  attemptFailed(attempt: ServerAttempt, evidence: AttemptEvidence): void {
    this.#context.metrics.recordAttemptFailure(evidence.kind);
    this.#context.writeEvent({
      event: "attempt-failed",
      request: this.#requestId,
      server: attempt.server.registration.id,
      evidence: evidence.kind,
      detail: detailOf(evidence),
      reportedLoad: evidence.kind === "refused-by-server"
        ? reportedLoadOf(attempt.server)
        : undefined,
      elapsedMilliseconds: Math.round(attempt.elapsedMilliseconds),
      ...attempt.placementInputs,
    });
  }

  answered(
    attempt: ServerAttempt,
    route: SnapshotRoute,
    progress: ExchangeProgress,
  ): void {
    const { elapsedMilliseconds: elapsed, attempts } = progress;
    const { objectiveMilliseconds, name } = route;
    const isLate = elapsed > objectiveMilliseconds;
    this.#context.metrics.recordAnswer(name, elapsed, isLate);
    if (!isLate) return;
    this.#context.writeEvent({
      event: "request-late",
      request: this.#requestId,
      server: attempt.server.registration.id,
      attempts,
      elapsedMilliseconds: Math.round(elapsed),
      waitedMilliseconds: Math.round(progress.waitedMilliseconds),
      objectiveMilliseconds,
      ...attempt.placementInputs,
    });
  }

  answerCut(
    attempt: ServerAttempt,
    { elapsedMilliseconds }: ExchangeProgress,
  ): void {
    this.#context.metrics.recordOutcome("cut");
    this.#context.writeEvent({
      event: "answer-cut",
      request: this.#requestId,
      server: attempt.server.registration.id,
      elapsedMilliseconds: Math.round(elapsedMilliseconds),
    });
  }

  callerLeft({ attempts, elapsedMilliseconds }: ExchangeProgress): void {
    this.#context.metrics.recordOutcome("caller-left");
    this.#context.writeEvent({
      event: "caller-left",
      request: this.#requestId,
      attempts,
      elapsedMilliseconds: Math.round(elapsedMilliseconds),
    });
  }

  refused(
    { status, retryAfterSeconds, route }: Refusal,
    reason: string,
    { attempts, elapsedMilliseconds }: ExchangeProgress,
    service: ServiceName | undefined,
  ): void {
    const isRefusal = status === 503;
    this.#context.metrics.recordOutcome(isRefusal ? "refused" : "failed");
    const { servers, router } = this.#context;
    this.#context.writeEvent({
      event: isRefusal ? "request-refused" : "request-failed",
      request: this.#requestId,
      route: route?.name,
      status,
      reason,
      attempts,
      elapsedMilliseconds: Math.round(elapsedMilliseconds),
      configurationVersion: router.snapshot?.version ?? 0,
      servers: service === undefined ? 0 : servers.ofService(service).length,
      waiting: service === undefined
        ? 0
        : this.#context.services.queueOf(service).length,
      retryAfterSeconds,
    });
  }
}

/** Load in the last report of a server, which a refusal has just brought. */
function reportedLoadOf({ lastReport }: ServerLoad): number | undefined {
  if (lastReport === undefined) return undefined;
  return lastReport.running + lastReport.waiting;
}

function detailOf(evidence: AttemptEvidence): string | undefined {
  if (evidence.kind === "unusable-answer") return evidence.why;
  if (evidence.kind === "refused-by-server") return String(evidence.status);
  return undefined;
}
