/**
 * How old the known state may be for a request that is decided by it in time.
 */
import type { GatewayOptions } from "./options.ts";
import { TUNING } from "./tuning.ts";

const MILLISECONDS_IN_SECOND = 1_000;
/**
 * Time from the decision on a request to its arrival at a server: probes, a
 * connection that is opened, and other work of the entry.
 */
const DECISION_MILLISECONDS = 400;

export function validityMilliseconds({ bounds }: GatewayOptions): number {
  const seconds = Math.min(
    bounds.configurationEffectSeconds,
    bounds.leavingEffectSeconds,
  );
  return Math.max(
    TUNING.discovery.maximumStateAgeMilliseconds,
    seconds * MILLISECONDS_IN_SECOND - DECISION_MILLISECONDS,
  );
}
