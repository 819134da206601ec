/**
 * Tests that ranks agree between entries, spread the keys evenly, and change
 * only as far as the membership does.
 */
import { expect, it } from "vitest";
import { highestRanked, rankMembers, rankOf } from "./rendezvous.ts";

const MEMBERS = Array.from({ length: 52 }, (_, index) => `member-${index}`);
const KEYS = Array.from({ length: 5_200 }, (_, index) => `server-${index}`);

it("ranks do not depend on the order in which members are known", () => {
  const reversed = [...MEMBERS].reverse();
  for (const key of KEYS.slice(0, 100)) {
    const ranked = rankMembers(key, MEMBERS);
    expect(rankMembers(key, reversed)).toEqual(ranked);
    expect(highestRanked(key, reversed)).toBe(ranked[0]);
    for (const [rank, member] of ranked.entries()) {
      expect(rankOf(key, member, reversed)).toBe(rank);
    }
  }
  expect(rankOf("any", "stranger", MEMBERS)).toBe(-1);
  expect(highestRanked("any", [])).toBeUndefined();
});

it("each member is first for about its share of the keys", () => {
  const counts = new Map<string | undefined, number>();
  for (const key of KEYS) {
    const first = highestRanked(key, MEMBERS);
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  expect(counts.size).toBe(MEMBERS.length);
  // Mean 100; beyond five standard deviations the hash would be biased.
  for (const count of counts.values()) {
    expect(count).toBeGreaterThan(50);
    expect(count).toBeLessThan(150);
  }
});

it("a member that leaves hands on only its own keys", () => {
  const [left, ...others] = MEMBERS;
  for (const key of KEYS) {
    const before = highestRanked(key, MEMBERS);
    if (before !== left) expect(highestRanked(key, others)).toBe(before);
  }
});
