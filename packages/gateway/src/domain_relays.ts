/**
 * Selects the peers that get a message for the whole fleet: those of the own
 * failure domain, and one relay in each other domain that forwards it there.
 * Traffic between failure domains then does not grow with the fleet. A small
 * domain needs no relay, which might fail.
 */
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { highestRanked } from "@marigoldford/kernel/rendezvous";
import type { FailureDomain } from "@marigoldford/kernel/types";

export function peersInDomain(
  peers: readonly MemberRecord[],
  domain: FailureDomain,
): MemberRecord[] {
  return peers.filter(({ failureDomain }) => failureDomain === domain);
}

export type Sender = {
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
};

export type Receivers = {
  readonly direct: readonly MemberRecord[];
  /** Peers that forward the message to their failure domain. */
  readonly relays: readonly MemberRecord[];
};

/**
 * Receivers in the other failure domains. All peers of a domain with up to
 * `maximumDirect` of them get the message directly; in larger domains each
 * sender has a relay of its own.
 */
export function receiversInOtherDomains(
  self: Sender,
  peers: readonly MemberRecord[],
  maximumDirect: number,
): Receivers {
  const byDomain = new Map<FailureDomain, MemberRecord[]>();
  for (const peer of peers) {
    if (peer.failureDomain === self.failureDomain) continue;
    const members = byDomain.get(peer.failureDomain);
    if (members === undefined) byDomain.set(peer.failureDomain, [peer]);
    else members.push(peer);
  }
  const direct: MemberRecord[] = [];
  const relays: MemberRecord[] = [];
  for (const members of byDomain.values()) {
    if (members.length <= maximumDirect) direct.push(...members);
    else relays.push(relayOf(self, members));
  }
  return { direct, relays };
}

function relayOf(
  self: Sender,
  members: readonly MemberRecord[],
): MemberRecord {
  const incarnations = members.map(({ incarnation }) => incarnation);
  const highest = highestRanked(self.incarnation, incarnations);
  return members.find(({ incarnation }) => incarnation === highest) ??
    members[0];
}
