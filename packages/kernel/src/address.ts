/**
 * Parses `host:port` addresses.
 */
import type { Address } from "./types.ts";

export type HostAndPort = { readonly host: string; readonly port: number };

/** Splits `host:port`; the brackets of an IPv6 host are removed. */
export function splitAddress(address: Address): HostAndPort {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
