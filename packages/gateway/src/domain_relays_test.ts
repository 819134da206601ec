/**
 * Tests that a message for the fleet reaches each failure domain, and that few
 * copies of it leave the own one.
 */
import { expect, it } from "vitest";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { peersInDomain, receiversInOtherDomains } from "./domain_relays.ts";

const SELF = { incarnation: "self", failureDomain: "a" };

function makePeers(counts: Readonly<Record<string, number>>): MemberRecord[] {
  return Object.entries(counts).flatMap(([failureDomain, count]) =>
    Array.from({ length: count }, (_, index) => ({
      incarnation: `${failureDomain}-${index}`,
      callAddress: "",
      meshAddress: "",
      datagramAddress: "",
      failureDomain,
      state: "serving" as const,
      counter: 1,
    }))
  );
}

it("a large domain gets one copy, a small one a copy for each entry", () => {
  const peers = makePeers({ a: 50, b: 50, c: 3 });
  const { direct, relays } = receiversInOtherDomains(SELF, peers, 8);
  expect(relays.map(({ failureDomain }) => failureDomain)).toEqual(["b"]);
  expect(direct.map(({ incarnation }) => incarnation)).toEqual([
    "c-0",
    "c-1",
    "c-2",
  ]);
  expect(peersInDomain(peers, "a")).toHaveLength(50);
});

it("two senders rarely share a relay", () => {
  const peers = makePeers({ b: 50 });
  const relays = Array.from({ length: 40 }, (_, index) => {
    const sender = { incarnation: `sender-${index}`, failureDomain: "a" };
    return receiversInOtherDomains(sender, peers, 8).relays[0].incarnation;
  });
  expect(new Set(relays).size).toBeGreaterThan(15);
});
