/**
 * Log events of the changes of the discovery state. The adoption of a snapshot
 * is logged where it takes effect.
 */
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import type { WriteEvent } from "./events.ts";

export function logChange(
  change: DiscoveryChange,
  from: "service" | "peer",
  writeEvent: WriteEvent,
): void {
  if (change.kind === "snapshot") return;
  const { revision } = change;
  switch (change.kind) {
    case "evacuation":
      return writeEvent({
        event: change.isEvacuated ? "evacuation-started" : "evacuation-ended",
        domain: change.failureDomain,
        from,
        revision,
      });
    case "gone":
      return writeEvent({
        event: "server-changed",
        server: change.id,
        change: change.reason,
        from,
        revision,
      });
    case "registration": {
      const { id, service, state } = change.registration;
      return writeEvent({
        event: "server-changed",
        server: id,
        service,
        change: state,
        from,
        revision,
      });
    }
  }
}
