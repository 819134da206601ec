/**
 * Datagram addresses of the seeds, which the settings give as mesh addresses;
 * every entry uses the same ports.
 */
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";

export function seedDatagramAddresses(
  seeds: readonly Address[],
  ownDatagramAddress: Address,
): Address[] {
  const { port } = splitAddress(ownDatagramAddress);
  return seeds.map((seed) => `${splitAddress(seed).host}:${port}`);
}
