/**
 * Binds a server to an address.
 */
import type { ListenOptions, Server } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";

/** Resolves when the server listens; rejects if it cannot. */
export function listenAt(
  server: Server,
  address: Address,
  options: ListenOptions = {},
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ ...splitAddress(address), ...options }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
