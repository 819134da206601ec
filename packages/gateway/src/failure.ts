/**
 * What a caller is told when none of the attempts of its request has succeeded:
 * the cause, and when to retry.
 */
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
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

/**
 * When a caller should retry. Where servers take no request of this entry for
 * some time, others may take one sooner.
 */
export function retryAfterSeconds(
  cause: RefusalCause,
  heldBackMilliseconds: number | undefined,
): number {
  if (cause === "no-room" || cause === "peers-refused") {
    return OVERLOAD_RETRY_AFTER_SECONDS;
  }
  if (heldBackMilliseconds === undefined) return RETRY_AFTER_SECONDS;
  const seconds = Math.min(
    heldBackMilliseconds / MILLISECONDS_IN_SECOND,
    OVERLOAD_RETRY_AFTER_SECONDS,
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
