/**
 * Selects the entries that a caller is told to use.
 *
 * Only entries of the caller's own failure domain are returned while there are
 * enough of them, to avoid traffic between failure domains.
 */
import type { MemberRecord } from "./fleet_members.ts";
import type { Address, FailureDomain } from "./types.ts";

/** With fewer entries in the caller's domain, all others are returned too. */
const MINIMUM_LOCAL_ENTRIES = 2;
const MAXIMUM_ENTRIES = 64;

/** Call addresses for a caller in `failureDomain`. */
export function entriesForCaller(
  members: readonly MemberRecord[],
  failureDomain: FailureDomain | undefined,
): Address[] {
  const serving = members.filter(({ state }) => state === "serving");
  const local = serving.filter((member) =>
    member.failureDomain === failureDomain
  );
  const selected = local.length >= MINIMUM_LOCAL_ENTRIES ? local : serving;
  const addresses = new Set(selected.map(({ callAddress }) => callAddress));
  return [...addresses].slice(0, MAXIMUM_ENTRIES);
}
