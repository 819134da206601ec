/**
 * Decides which peers get an announcement of a single entry, such as the change
 * of its state: in a small fleet all of them, in a larger one those of its own
 * failure domain and a few relays in each other domain, which forward it there.
 *
 * Each announcement has other relays than the one before, so that a dead relay
 * does not keep the next ones from a failure domain.
 */
import type { MemberRecord } from "./fleet_members.ts";
import { isSmallFleet } from "./gossip_targets.ts";
import { rankMembers } from "./rendezvous.ts";
import type { FailureDomain } from "./types.ts";

export type AnnouncementReceivers = {
  readonly direct: readonly MemberRecord[];
  /** Peers that forward the announcement to their failure domain. */
  readonly relays: readonly MemberRecord[];
};

export type Announcement = {
  readonly from: MemberRecord["incarnation"];
  readonly failureDomain: FailureDomain;
  /** Distinguishes the announcements of an entry from each other. */
  readonly sequence: number;
  readonly relaysPerDomain: number;
  /** Also in the own domain, of which a starting entry knows a part only. */
  readonly hasOwnRelays?: boolean;
};

export function announcementReceivers(
  peers: readonly MemberRecord[],
  { from, failureDomain, sequence, relaysPerDomain, hasOwnRelays }:
    Announcement,
): AnnouncementReceivers {
  if (isSmallFleet(peers)) return { direct: peers, relays: [] };
  const byDomain = new Map<FailureDomain, Map<string, MemberRecord>>();
  for (const peer of peers) {
    const members = byDomain.get(peer.failureDomain) ?? new Map();
    byDomain.set(peer.failureDomain, members.set(peer.incarnation, peer));
  }
  const relays: MemberRecord[] = [];
  for (const [domain, members] of byDomain) {
    if (domain === failureDomain && !hasOwnRelays) continue;
    const ranked = rankMembers(`${from}.${sequence}`, members.keys());
    for (const incarnation of ranked.slice(0, relaysPerDomain)) {
      const relay = members.get(incarnation);
      if (relay !== undefined) relays.push(relay);
    }
  }
  const direct = [...byDomain.get(failureDomain)?.values() ?? []];
  return { direct: direct.filter((peer) => !relays.includes(peer)), relays };
}
