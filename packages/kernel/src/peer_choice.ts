/**
 * Selects the peer that a request is passed on to by an entry that does not
 * reach the backend servers.
 *
 * Requests are spread by what this entry has in progress at each peer. A peer
 * of the own failure domain is preferred as long as it does not get many more
 * than others.
 */
import type { FailureDomain, RandomSource } from "./types.ts";

export type PeerCandidate = {
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  /** Requests that this entry has passed on to it and not got back. */
  readonly inProgress: number;
};

export type PeerChoiceContext = {
  readonly ownFailureDomain: FailureDomain;
  readonly tried: ReadonlySet<string>;
  readonly random: RandomSource;
};

/** Requests in progress that the way to another failure domain counts for. */
const CROSS_DOMAIN_REQUESTS = 4;
/** A small instance bears this many beside the requests of its own callers. */
const MAXIMUM_IN_PROGRESS = 32;
/** Peers that one request is passed on to at most. */
const MAXIMUM_PEERS = 3;

export function choosePeer<Candidate extends PeerCandidate>(
  candidates: readonly Candidate[],
  { ownFailureDomain, tried, random }: PeerChoiceContext,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  let triedPeers = 0;
  for (const candidate of candidates) {
    const { incarnation, failureDomain, inProgress } = candidate;
    if (tried.has(incarnation)) {
      triedPeers += 1;
      continue;
    }
    if (inProgress >= MAXIMUM_IN_PROGRESS) continue;
    const distance = failureDomain === ownFailureDomain
      ? 0
      : CROSS_DOMAIN_REQUESTS;
    const score = inProgress + distance + random();
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return triedPeers < MAXIMUM_PEERS ? best : undefined;
}
