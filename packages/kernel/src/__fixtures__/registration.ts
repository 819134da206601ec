/**
 * Makes registrations of backend servers for tests.
 */
import type { ServerRegistration } from "../routing_snapshot.ts";

export function makeRegistration(
  fields: Partial<ServerRegistration> = {},
): ServerRegistration {
  return {
    id: "one",
    service: "web",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 2,
    state: "ready",
    warmUpLeftMilliseconds: 0,
    bornAtMilliseconds: 1_000,
    sequence: 1,
    ...fields,
  };
}
