/**
 * Which entries a caller is told to use.
 *
 * Entries of the caller's own failure domain come alone while there are
 * enough of them, so that a request does not cross more often than needed.
 */
import type { MemberRecord } from "./fleet_members.ts";
import type { Address, FailureDomain } from "./types.ts";

/** With fewer near entries the others are named as well. */
const ENOUGH_NEAR_ENTRIES = 2;
const MOST_ENTRIES = 64;

/** Call addresses for a caller of `failureDomain`. */
export function entriesForCaller(
  members: readonly MemberRecord[],
  failureDomain: FailureDomain | undefined,
): Address[] {
  const serving = members.filter(({ state }) => state === "serving");
  const near = serving.filter((member) =>
    member.failureDomain === failureDomain
  );
  const named = near.length >= ENOUGH_NEAR_ENTRIES ? near : serving;
  const addresses = new Set(named.map(({ callAddress }) => callAddress));
  return [...addresses].slice(0, MOST_ENTRIES);
}
