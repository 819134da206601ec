/**
 * Explains a placement: which servers of a service are candidates for a
 * request, in which order, and why the others are not.
 *
 * The verdict on a server is the result of `place` for that server alone, and
 * the decision that of `place` for all of them, so a change of the placement
 * rules changes the explanation with them. Only what `place` decides between
 * servers is repeated here: blocked and leaving ones give way to others. The
 * random part of the scores is left out; servers that it may prefer to the
 * first one are marked.
 */
import {
  estimatedLoad,
  expectedCompletionMilliseconds,
  place,
  type PlacementContext,
  type PlacementRequest,
  type PlacementResult,
  placementScore,
  SCORE_JITTER,
  usableSlots,
} from "./placement.ts";
import type { ServerLoad } from "./server_load.ts";

/**
 * - `selectable`: has the lowest score, or may have it with the random part.
 * - `usable`: would be selected without the servers before it.
 * - `leaving`: has capacity, but one that stays has some as well.
 * - `blocked`: failed or refused recently, and others did not.
 * - `held-back`: may get no request for `heldBackMilliseconds`.
 * - `full`, `late`, `unknown`: as the results of `place`.
 * - `tried`: the request was sent to it before.
 * - `not-used`: registered, but the entry sends it nothing.
 */
export type CandidateVerdict =
  | "selectable"
  | "usable"
  | "leaving"
  | "unknown"
  | "late"
  | "full"
  | "blocked"
  | "held-back"
  | "tried"
  | "not-used";

/** What restricts the use of a server, whatever the verdict. */
export type CandidateRestriction =
  | "cold"
  | "leaving"
  | "paused"
  | "limited"
  | "evacuated"
  | "full"
  | "blocked"
  | "unhealthy"
  | "draining";

export type ExplainedCandidate = {
  readonly server: ServerLoad;
  readonly verdict: CandidateVerdict;
  readonly restrictions: readonly CandidateRestriction[];
  /** Requests known to be at the server. */
  readonly load: number;
  /** Requests that the placement assumes there; more without a recent report. */
  readonly assumedLoad: number;
  /** Maximum number of requests there at the same time. */
  readonly concurrencyLimit: number;
  readonly expectedMilliseconds: number;
  /** Expected time plus costs; the lowest one is selected. */
  readonly score: number;
  /** Infinite if the server gets no request until it says something new. */
  readonly heldBackMilliseconds: number;
};

export type PlacementExplanation = {
  readonly result: PlacementResult;
  /** Best first. */
  readonly candidates: readonly ExplainedCandidate[];
};

/** Verdicts in the order in which candidates are listed. */
const VERDICT_ORDER: readonly CandidateVerdict[] = [
  "selectable",
  "usable",
  "leaving",
  "unknown",
  "late",
  "full",
  "blocked",
  "held-back",
  "tried",
  "not-used",
];

/**
 * Explains where `place` would send a request. Reading the servers drops counts
 * that have expired and adds the requests that their limits have made possible
 * since; neither changes a later result.
 */
export function explainPlacement(
  servers: readonly ServerLoad[],
  request: PlacementRequest,
  context: PlacementContext,
): PlacementExplanation {
  const steady = { ...context, random: () => 0 };
  const examined = servers.map((server) => examine(server, request, steady));
  const isAnyUnblocked = examined.some(({ server, verdict }) =>
    isAllowed(verdict) && !server.isBlocked(context.now)
  );
  const unblocked = examined.map((candidate) =>
    isAnyUnblocked && isAllowed(candidate.verdict) &&
      candidate.server.isBlocked(context.now)
      ? { ...candidate, verdict: "blocked" as const }
      : candidate
  );
  const isAnyStaying = unblocked.some(({ server, verdict }) =>
    verdict === "usable" && !server.restrictions.isLeaving
  );
  const candidates = unblocked.map((candidate) =>
    isAnyStaying && candidate.verdict === "usable" &&
      candidate.server.restrictions.isLeaving
      ? { ...candidate, verdict: "leaving" as const }
      : candidate
  );
  return {
    result: place(servers, request, steady),
    candidates: markSelectable(candidates.sort(compareCandidates)),
  };
}

/** Whether the server may get a request now. */
function isAllowed(verdict: CandidateVerdict): boolean {
  return verdict !== "held-back" && verdict !== "tried";
}

function examine(
  server: ServerLoad,
  request: PlacementRequest,
  context: PlacementContext,
): ExplainedCandidate {
  const { now } = context;
  const { serviceTimeMilliseconds } = request;
  const verdict = verdictOn(server, request, context);
  const load = server.load(now);
  const concurrencyLimit = usableSlots(
    context.concurrencyLimit(server.slots, serviceTimeMilliseconds),
    request.slotUse ?? "usual",
  );
  const isFull = verdict === "full" || load >= concurrencyLimit;
  return {
    server,
    verdict,
    restrictions: restrictionsOn(server, now, isFull),
    load,
    assumedLoad: estimatedLoad(server, context),
    concurrencyLimit,
    expectedMilliseconds: expectedCompletionMilliseconds(
      server,
      serviceTimeMilliseconds,
      context,
    ),
    score: placementScore(server, request, context),
    heldBackMilliseconds: server.millisecondsUntilAllowed(
      now,
      context.warmUpRequestsPerSecond,
    ),
  };
}

function verdictOn(
  server: ServerLoad,
  request: PlacementRequest,
  context: PlacementContext,
): CandidateVerdict {
  const { kind } = place([server], request, context);
  if (kind === "placed") return "usable";
  return kind === "none" ? "tried" : kind;
}

function restrictionsOn(
  server: ServerLoad,
  now: number,
  isFull: boolean,
): CandidateRestriction[] {
  const { restrictions } = server;
  const applies: Readonly<Record<string, boolean>> = {
    cold: server.isCold(now),
    leaving: restrictions.isLeaving,
    paused: restrictions.isPaused(now),
    limited: restrictions.requestLimit !== "none",
    full: isFull,
    blocked: server.isBlocked(now),
    unhealthy: server.isReportedUnhealthy,
  };
  return Object.keys(applies).filter((name) =>
    applies[name]
  ) as CandidateRestriction[];
}

function compareCandidates(
  left: ExplainedCandidate,
  right: ExplainedCandidate,
): number {
  const order = VERDICT_ORDER.indexOf(left.verdict) -
    VERDICT_ORDER.indexOf(right.verdict);
  if (order !== 0) return order;
  if (left.verdict === "held-back") {
    const wait = left.heldBackMilliseconds - right.heldBackMilliseconds;
    // The difference of two infinite waits is not a number.
    if (wait < 0 || wait > 0) return wait;
  }
  return left.score - right.score;
}

/**
 * Marks the usable servers whose score with the smallest random part may be
 * below that of the first one with the largest.
 */
function markSelectable(
  sorted: readonly ExplainedCandidate[],
): ExplainedCandidate[] {
  const highest = sorted[0]?.score * (1 + SCORE_JITTER);
  return sorted.map((candidate) =>
    candidate.verdict === "usable" && candidate.score <= highest
      ? { ...candidate, verdict: "selectable" }
      : candidate
  );
}
