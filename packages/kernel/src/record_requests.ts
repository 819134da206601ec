/**
 * Decides which records of unknown members an entry requests from the peer that
 * told of them.
 *
 * A peer of the own failure domain is asked for all. In a large fleet one of
 * another domain is asked for a few: with them the entry finds peers in its own
 * domain, which have the others or get them in the same way.
 */
import type { MemberRecord } from "./fleet_members.ts";
import { isSmallFleet } from "./gossip_targets.ts";
import type { FailureDomain, RandomSource } from "./types.ts";

/** Two datagrams of records. */
const MAXIMUM_ACROSS_DOMAINS = 16;

export function tagsToRequest(
  { unknownTags, teller, failureDomain, peers, random }: {
    readonly unknownTags: readonly number[];
    /** Who told of them; undefined if it is no live peer. */
    readonly teller: MemberRecord | undefined;
    readonly failureDomain: FailureDomain;
    readonly peers: readonly MemberRecord[];
    readonly random: RandomSource;
  },
): number[] {
  const isOwnDomain = teller?.failureDomain === failureDomain;
  const tags = [...unknownTags];
  if (isOwnDomain || isSmallFleet([...peers, ...tags])) return tags;
  // Entries that start together ask the same peers, so each takes others.
  const requested: number[] = [];
  while (requested.length < MAXIMUM_ACROSS_DOMAINS && tags.length > 0) {
    requested.push(...tags.splice(Math.floor(random() * tags.length), 1));
  }
  return requested;
}
