/**
 * Tests how requests are spread over the peers that they are passed on to.
 */
import { expect, it } from "vitest";
import { choosePeer, type PeerCandidate } from "./peer_choice.ts";

function peer(
  incarnation: string,
  failureDomain: string,
  inProgress = 0,
): PeerCandidate {
  return { incarnation, failureDomain, inProgress };
}

function choose(
  candidates: readonly PeerCandidate[],
  tried: readonly string[] = [],
): string | undefined {
  return choosePeer(candidates, {
    ownFailureDomain: "north",
    tried: new Set(tried),
    random: () => 0.5,
  })?.incarnation;
}

it("prefers a peer of the own failure domain until others have far less", () => {
  expect(choose([peer("far", "south"), peer("near", "north")])).toBe("near");
  expect(choose([peer("far", "south"), peer("near", "north", 5)])).toBe("far");
});

it("spreads requests evenly over equal peers", () => {
  const counts = new Map(["a", "b", "c", "d"].map((name) => [name, 0]));
  for (let sent = 0; sent < 40; sent++) {
    const candidates = [...counts].map(([name, count]) =>
      peer(name, "north", count)
    );
    const chosen = choose(candidates)!;
    counts.set(chosen, counts.get(chosen)! + 1);
  }
  expect([...counts.values()]).toEqual([10, 10, 10, 10]);
});

it("gives up after three peers, and never overloads one", () => {
  const peers = ["a", "b", "c", "d"].map((name) => peer(name, "north"));
  expect(choose(peers, ["a", "b"])).toBe("c");
  expect(choose(peers, ["a", "b", "c"])).toBeUndefined();
  expect(choose([peer("a", "north", 32)])).toBeUndefined();
  expect(choose([])).toBeUndefined();
});
