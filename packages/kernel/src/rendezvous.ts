/**
 * Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, "A
 * Name-Based Mapping Scheme for Rendezvous" (1996).
 *
 * Entries that know the same members rank them alike without coordination. A
 * member that joins or leaves changes the first rank only for its own share of
 * the keys.
 */
import { createHash } from "node:crypto";

type RankedMember = { readonly member: string; readonly weight: string };

function weigh(key: string, member: string): string {
  return createHash("sha1").update(`${key}\u0000${member}`).digest("hex");
}

/** Members in descending order of their weight for `key`. */
export function rankMembers(
  key: string,
  members: Iterable<string>,
): string[] {
  const ranked: RankedMember[] = [];
  for (const member of members) {
    ranked.push({ member, weight: weigh(key, member) });
  }
  ranked.sort((left, right) => left.weight < right.weight ? 1 : -1);
  return ranked.map(({ member }) => member);
}
