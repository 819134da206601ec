/**
 * Rendezvous (highest random weight) hashing, after Thaler and Ravishankar,
 * "A Name-Based Mapping Scheme for Rendezvous" (1996).
 *
 * Instances that know the same members rank them alike without talking, and
 * a member that joins or leaves moves only its own share.
 */
import { createHash } from "node:crypto";

type RankedMember = { readonly member: string; readonly weight: string };

function weigh(topic: string, member: string): string {
  return createHash("sha1").update(`${topic}\u0000${member}`).digest("hex");
}

/** Members in falling order of their weight for `topic`. */
export function rankMembers(
  topic: string,
  members: Iterable<string>,
): string[] {
  const ranked: RankedMember[] = [];
  for (const member of members) {
    ranked.push({ member, weight: weigh(topic, member) });
  }
  ranked.sort((left, right) => left.weight < right.weight ? 1 : -1);
  return ranked.map(({ member }) => member);
}
