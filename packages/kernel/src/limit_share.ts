/**
 * Divides the request limit of a backend server among the entries of a fleet.
 *
 * Most limits are smaller than the number of entries, and an equal part would
 * be one request in many seconds, which an entry could save up until all of
 * them send at once. So only some entries hold a share, selected by rendezvous
 * hashing: entries that know the same members agree without messages, and each
 * holder has enough traffic to use its share.
 */
import { rankOf } from "./rendezvous.ts";

/** Requests a second of one share, at least while there are enough entries. */
const SHARE_REQUESTS_PER_SECOND = 0.5;
/** The rest covers entries that do not know the same members for a moment. */
const USED_SHARE = 0.9;

/** Number of entries that hold a share of a limit. */
export function limitHolders(
  requestsPerSecond: number,
  members: number,
): number {
  const holders = Math.ceil(requestsPerSecond / SHARE_REQUESTS_PER_SECOND);
  return Math.max(1, Math.min(members, holders));
}

/**
 * Requests a second that the member at a rank may send; 0 if it holds no
 * share. `rank` is the position among the members, from 0.
 */
export function shareOfLimit(
  requestsPerSecond: number,
  { rank, members }: { readonly rank: number; readonly members: number },
): number {
  const holders = limitHolders(requestsPerSecond, members);
  return rank < holders ? requestsPerSecond * USED_SHARE / holders : 0;
}

/**
 * Rank of an entry among the members for a server. An entry that is leaving is
 * no member and holds no share, unless it is the only entry.
 */
export function limitRank(
  server: string,
  self: string,
  members: readonly string[],
): { readonly rank: number; readonly members: number } {
  if (members.length === 0) return { rank: 0, members: 1 };
  const rank = rankOf(server, self, members);
  return { rank: rank < 0 ? Infinity : rank, members: members.length };
}
