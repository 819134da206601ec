/**
 * Rendezvous (highest random weight) hashing, after Thaler and Ravishankar, "A
 * Name-Based Mapping Scheme for Rendezvous" (1996).
 *
 * Entries that know the same members rank them alike without coordination. A
 * member that joins or leaves changes the first rank only for its own share of
 * the keys. In large fleets the ranks are computed often, so the hash is a fast
 * one that is not cryptographic.
 */
type RankedMember = { readonly member: string; readonly weight: number };

/** FNV-1a, 32 bits. */
const HASH_OFFSET_BASIS = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

function hash(text: string): number {
  let value = HASH_OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), HASH_PRIME);
  }
  return value;
}

/** Spreads each bit of a number over all 32 (finalizer of MurmurHash3). */
function mix(number: number): number {
  let value = number ^ (number >>> 16);
  value = Math.imul(value, 0x85ebca6b);
  value ^= value >>> 13;
  value = Math.imul(value, 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

function weigh(keyHash: number, member: string): number {
  return mix(keyHash ^ mix(hash(member)));
}

function compareRanks(left: RankedMember, right: RankedMember): number {
  if (left.weight !== right.weight) return right.weight - left.weight;
  return left.member < right.member ? 1 : -1;
}

/** Members in descending order of their weight for `key`. */
export function rankMembers(
  key: string,
  members: Iterable<string>,
): string[] {
  const keyHash = hash(key);
  return Array.from(
    members,
    (member) => ({ member, weight: weigh(keyHash, member) }),
  ).sort(compareRanks).map(({ member }) => member);
}

/** The first of the ranked members; undefined if there are none. */
export function highestRanked(
  key: string,
  members: Iterable<string>,
): string | undefined {
  const keyHash = hash(key);
  let highest: RankedMember | undefined;
  for (const member of members) {
    const ranked = { member, weight: weigh(keyHash, member) };
    if (highest === undefined || compareRanks(ranked, highest) < 0) {
      highest = ranked;
    }
  }
  return highest?.member;
}

/** Position of `self` among the ranked members, from 0; -1 if it is none. */
export function rankOf(
  key: string,
  self: string,
  members: Iterable<string>,
): number {
  const keyHash = hash(key);
  const own = { member: self, weight: weigh(keyHash, self) };
  let ahead = 0;
  let isMember = false;
  for (const member of members) {
    if (member === self) isMember = true;
    else if (
      compareRanks({ member, weight: weigh(keyHash, member) }, own) < 0
    ) ahead += 1;
  }
  return isMember ? ahead : -1;
}
