/**
 * What a caller is told when none of the attempts of its request has succeeded:
 * the cause, and when to retry. What a failed attempt says of its server.
 */
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import type {
  ServerLoad,
  ServerOutcome,
} from "@marigoldford/kernel/server_load";
import type { RefusalCause } from "./admission.ts";

/** `Retry-After` when no backend server could run the request. */
const RETRY_AFTER_SECONDS = 0.2;
/**
 * `Retry-After` under overload: bursts last for seconds, and earlier retries
 * add to them.
 */
const OVERLOAD_RETRY_AFTER_SECONDS = 0.5;
/** Added to `Retry-After` at random, so that callers do not return at once. */
const RETRY_SPREAD_SECONDS = 0.3;
const MILLISECONDS_IN_SECOND = 1_000;
const SILENCE_OBJECTIVES = 2;
const SILENCE_TIME_SHARE = 0.5;
/** A report that a peer passes on may have been made this much earlier. */
const RELAYED_REPORT_MILLISECONDS = 250;

/**
 * When a caller should retry. Where servers take no request of this entry for
 * some time, others may take one sooner.
 */
export function retryAfterSeconds(
  cause: RefusalCause,
  heldBackMilliseconds: number | undefined,
): number {
  if (cause === "peers-refused") return OVERLOAD_RETRY_AFTER_SECONDS;
  const isOverload = cause === "no-room";
  if (!isOverload && heldBackMilliseconds === undefined) {
    return RETRY_AFTER_SECONDS;
  }
  const seconds = Math.min(
    (heldBackMilliseconds ?? Infinity) / MILLISECONDS_IN_SECOND,
    OVERLOAD_RETRY_AFTER_SECONDS - (isOverload ? RETRY_SPREAD_SECONDS / 2 : 0),
  );
  const spread = Math.random() * RETRY_SPREAD_SECONDS;
  return Number((Math.max(RETRY_AFTER_SECONDS, seconds) + spread).toFixed(3));
}

/** What a failed attempt proves that was passed on to a peer. */
export function evidenceOfPeer(evidence: AttemptEvidence): AttemptEvidence {
  return evidence.kind === "refused-by-server"
    ? { kind: "refused-by-peer", status: evidence.status }
    : evidence;
}

export function causeOf({ kind }: AttemptEvidence): RefusalCause {
  switch (kind) {
    case "refused-by-server":
      return "servers-refused";
    case "refused-by-peer":
      return "peers-refused";
    default:
      return "attempt-broken";
  }
}

/**
 * How long a server may be silent on a request until it is looked into whether
 * it has crashed: well after the usual answers, and early enough that a request
 * which silences servers is recognized when it comes again.
 */
export function silenceMilliseconds(
  { objectiveMilliseconds }: { readonly objectiveMilliseconds: number },
  { timeLimitMilliseconds }: { readonly timeLimitMilliseconds: number },
): number {
  return Math.max(
    SILENCE_OBJECTIVES * objectiveMilliseconds,
    SILENCE_TIME_SHARE * timeLimitMilliseconds,
  );
}

/**
 * Whether no load report has come from a server either since it got a request
 * that it does not answer. A server that loses its machine closes nothing.
 */
export function isServerSilent(
  { isForward, elapsedMilliseconds, server, now }: {
    /** Whether a peer was to send the request on. */
    readonly isForward: boolean;
    readonly elapsedMilliseconds: number;
    readonly server: Pick<ServerLoad, "reportAgeMilliseconds">;
    readonly now: number;
  },
): boolean {
  const reportAge = server.reportAgeMilliseconds(now);
  return !isForward && elapsedMilliseconds > RELAYED_REPORT_MILLISECONDS &&
    reportAge > elapsedMilliseconds - RELAYED_REPORT_MILLISECONDS;
}

/** What a failed attempt says of the health of its server. */
export function serverOutcomeOf(
  evidence: AttemptEvidence,
  { elapsedMilliseconds }: { readonly elapsedMilliseconds: number },
  { objectiveMilliseconds }: { readonly objectiveMilliseconds: number },
): ServerOutcome {
  switch (evidence.kind) {
    case "refused-by-server":
      return evidence.status === 503 || evidence.status === 429
        ? "refused"
        : "failed";
    case "cancelled":
      return "inconclusive";
    case "timed-out":
      return elapsedMilliseconds > objectiveMilliseconds
        ? "silent"
        : "inconclusive";
    default:
      return "failed";
  }
}
