/**
 * Tests that an announcement reaches each failure domain with few copies across
 * domains, and that a dead relay does not keep announcements from a domain.
 */
import { expect, it } from "vitest";
import { announcementReceivers } from "./announcement_receivers.ts";
import type { MemberRecord } from "./fleet_members.ts";

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

const ANNOUNCEMENT = {
  from: "self",
  failureDomain: "a",
  sequence: 1,
  relaysPerDomain: 2,
};

it("the own domain and two relays in each other domain get it", () => {
  const peers = makePeers({ a: 50, b: 104, c: 1 });
  const { direct, relays } = announcementReceivers(peers, ANNOUNCEMENT);
  expect(direct).toEqual(peers.slice(0, 50));
  expect(relays.map(({ failureDomain }) => failureDomain))
    .toEqual(["b", "b", "c"]);
  expect(new Set(relays).size).toBe(3);
});

it("an entry that does not know all of its domain has relays there too", () => {
  const peers = makePeers({ a: 50, b: 60 });
  const announcement = { ...ANNOUNCEMENT, hasOwnRelays: true };
  const { direct, relays } = announcementReceivers(peers, announcement);
  expect(direct).toHaveLength(48);
  expect(relays.map(({ failureDomain }) => failureDomain))
    .toEqual(["a", "a", "b", "b"]);
});

it("every peer of a small fleet gets it directly", () => {
  const peers = makePeers({ a: 5, b: 12 });
  expect(announcementReceivers(peers, ANNOUNCEMENT))
    .toEqual({ direct: peers, relays: [] });
});

it("later announcements rarely have the same relays", () => {
  const peers = makePeers({ a: 50, b: 60 });
  const relays = Array.from(
    { length: 30 },
    (_, sequence) =>
      announcementReceivers(peers, { ...ANNOUNCEMENT, sequence }).relays,
  ).flat();
  expect(new Set(relays).size).toBeGreaterThan(30);
});
