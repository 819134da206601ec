/**
 * Registries of the gateway's plug-ins.
 *
 * A discovery source is made from (context, options); a side port is a small
 * server beside the one for callers, made from a view of the running gateway.
 */
import type { Address } from "@marigoldford/kernel/types";
import { PlugInRegistry } from "@marigoldford/kernel/plug_ins";
import type { DiscoverySource } from "./discovery_source.ts";
import type { WriteEvent } from "./events.ts";
import type { GatewayOptions } from "./options.ts";

export type DiscoveryContext = { readonly writeEvent: WriteEvent };
export type DiscoveryPlugIn = (
  context: DiscoveryContext,
  options: GatewayOptions["discovery"],
) => DiscoverySource;

export const DISCOVERY_SOURCES = new PlugInRegistry<DiscoveryPlugIn>();

/** What side ports may ask of a running gateway. */
export type GatewayView = {
  readonly isReady: () => boolean;
  /** Call addresses of entries for a caller, nearest first. */
  readonly entryAddressesFor: (failureDomain: string | undefined) => Address[];
  readonly metricsText: () => string;
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
