/**
 * Checks and parses `host:port` addresses.
 */
import type { Address } from "./types.ts";

const OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
const PORT = "(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d{2}|6[0-4]\\d{3}" +
  "|[1-5]\\d{4}|[1-9]\\d{0,3})";

/** IPv4 addresses with a port that can be connected to. */
export const IPV4_ADDRESS = new RegExp(
  `^${OCTET}(?:\\.${OCTET}){3}:${PORT}$`,
);

/** Like `IPV4_ADDRESS`, or an IPv6 address in brackets with a port. */
export const IP_ADDRESS = new RegExp(
  `^(?:${OCTET}(?:\\.${OCTET}){3}|\\[[0-9a-f:]{2,39}\\]):${PORT}$`,
);

export type HostAndPort = { readonly host: string; readonly port: number };

/** Splits `host:port`; the brackets of an IPv6 host are removed. */
export function splitAddress(address: Address): HostAndPort {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
