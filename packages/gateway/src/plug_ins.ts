/**
 * Registries of the gateway's plug-ins.
 *
 * A discovery source is created from (context, options). An auxiliary server
 * is a small server beside the one for callers, for example for metrics, and
 * is created from a view of the running gateway.
 */
import type { Address } from "@marigoldford/kernel/types";
import { PlugInRegistry } from "@marigoldford/kernel/plug_ins";
import type { ConnectionGuard } from "./callers/connection_guard.ts";
import type { DiscoverySource } from "./discovery_source.ts";
import type { WriteEvent } from "./events.ts";
import type { GatewayOptions } from "./options.ts";
import type { ExplainRoute } from "./route_explanation.ts";

export type DiscoveryContext = { readonly writeEvent: WriteEvent };
export type DiscoveryPlugIn = (
  context: DiscoveryContext,
  options: GatewayOptions["discovery"],
) => DiscoverySource;

export const DISCOVERY_SOURCES = new PlugInRegistry<DiscoveryPlugIn>();

/** What auxiliary servers may read from a running gateway. */
export type GatewayView = {
  readonly isReady: () => boolean;
  /** Call addresses of the entries that a caller is to use. */
  readonly entryAddressesFor: (failureDomain: string | undefined) => Address[];
  readonly metricsText: () => string;
  /** Where a request would be sent now, without sending it. */
  readonly explainRoute: ExplainRoute;
  readonly guard: ConnectionGuard;
};

export type AuxiliaryServer = {
  readonly open: () => Promise<void>;
  readonly close: () => void;
};

export type AuxiliaryServerPlugIn = (
  context: GatewayView,
  options: GatewayOptions,
) => AuxiliaryServer;

export const AUXILIARY_SERVERS = new PlugInRegistry<AuxiliaryServerPlugIn>();
