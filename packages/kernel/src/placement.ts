/**
 * Chooses the backend server where a request is expected to end first.
 *
 * It answers a load in which a third of the servers are several times slower
 * for a few hundred milliseconds at a time, and in which servers slow down
 * when they are nearly full. The expected time is the work of the route,
 * times the slowdown of the server, behind the requests that are there. To
 * cross into another failure domain costs its round trip and its bytes.
 */
import type { ServerLoad } from "./server_load.ts";
import type { FailureDomain, RandomSource } from "./types.ts";

/** What is known of the request that is to be placed. */
export type PlacementRequest = {
  /** Mean time that an idle server needs for requests of the route. */
  readonly workMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Mean size of the answers of the route. */
  readonly answerBytes: number;
  readonly tried: ReadonlySet<string>;
};

export type PlacementContext = {
  readonly now: number;
  readonly random: RandomSource;
  readonly ownFailureDomain: FailureDomain;
  readonly crossing: CrossingCost;
};

/** Cost of sending a request to another failure domain. */
export type CrossingCost = {
  readonly roundTripMilliseconds: number;
  /** Latency objectives that a megabyte across is worth. */
  readonly objectivesForMegabyte: number;
};

export type Placement = {
  readonly server: ServerLoad;
  /** Expected time to the whole answer, without costs and penalties. */
  readonly expectedMilliseconds: number;
  readonly candidateCount: number;
  /** Whether the request is expected to start at once. */
  readonly hasFreeSlot: boolean;
};

/** Mean slowdown over time: a quarter to a third at four times the usual. */
const USUAL_SLOWDOWN = 1.8;
/** Servers work more slowly above this share of their slots. */
const KNEE_OCCUPANCY = 0.8;
const KNEE_SLOWDOWN = 1.7;
/** Slowdown in the first seconds of a server's life. */
const COLD_SLOWDOWN = 2;
/** A failed attempt costs about the whole objective. */
const FAILURE_COST_OBJECTIVES = 2;
/** Scores of servers that say that they are ill are multiplied by this. */
const BAD_HEALTH_FACTOR = 3;
/** Scores this close are taken as equal, so that entries spread. */
const TIE_PART = 0.05;
const BYTES_IN_MEGABYTE = 1_000_000;

type Expected = { readonly time: number; readonly hasFreeSlot: boolean };

/** Expected time to a whole answer from a server. */
export function expectedCompletion(
  server: ServerLoad,
  workMilliseconds: number,
  now: number,
): Expected {
  const { slots } = server;
  const load = server.load(now);
  const occupancy = Math.min(1, (load + 1) / slots);
  let pace = server.slowdown(now, USUAL_SLOWDOWN);
  if (occupancy > KNEE_OCCUPANCY) pace *= KNEE_SLOWDOWN;
  if (server.isCold(now)) pace *= COLD_SLOWDOWN;
  const ahead = Math.max(0, load + 1 - slots);
  const time = workMilliseconds * pace * (1 + ahead / slots);
  return { time, hasFreeSlot: ahead === 0 };
}

/** Time and costs of a server for a request, in milliseconds. */
function score(
  server: ServerLoad,
  expected: Expected,
  given: { request: PlacementRequest; context: PlacementContext },
): number {
  const { request, context } = given;
  const { objectiveMilliseconds: objective } = request;
  let total = expected.time;
  if (server.registration.failureDomain !== context.ownFailureDomain) {
    const { roundTripMilliseconds, objectivesForMegabyte } = context.crossing;
    const megabytes = request.answerBytes / BYTES_IN_MEGABYTE;
    total += roundTripMilliseconds +
      megabytes * objectivesForMegabyte * objective;
  }
  total += server.failureShare(context.now) * FAILURE_COST_OBJECTIVES *
    objective;
  if (server.isHealthBad) total *= BAD_HEALTH_FACTOR;
  return total;
}

/**
 * Places a request on one of `servers`, or returns undefined when none may
 * take it. Blocked servers are used only when there is no other.
 */
export function place(
  servers: readonly ServerLoad[],
  request: PlacementRequest,
  context: PlacementContext,
): Placement | undefined {
  const untried = servers.filter(({ registration }) =>
    !request.tried.has(registration.id)
  );
  const open = untried.filter((server) => !server.isBlocked(context.now));
  const candidates = open.length > 0 ? open : untried;
  let best: { server: ServerLoad; expected: Expected } | undefined;
  let bestScore = Infinity;
  for (const server of candidates) {
    const expected = expectedCompletion(
      server,
      request.workMilliseconds,
      context.now,
    );
    const jitter = 1 + context.random() * TIE_PART;
    const total = score(server, expected, { request, context }) * jitter;
    if (total >= bestScore) continue;
    bestScore = total;
    best = { server, expected };
  }
  if (best === undefined) return undefined;
  return {
    server: best.server,
    expectedMilliseconds: best.expected.time,
    hasFreeSlot: best.expected.hasFreeSlot,
    candidateCount: candidates.length,
  };
}
