/**
 * What an exchange needs from the entry around it.
 */
import type { FleetBudget } from "@marigoldford/kernel/fleet_budget";
import type { RouteWork } from "@marigoldford/kernel/route_work";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import type { Clock, ServiceName } from "@marigoldford/kernel/types";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { WriteEvent } from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { Placer } from "./placer.ts";
import type { ServiceLine } from "./service_line.ts";
import type { ServerTable } from "./server_table.ts";

export type ExchangeContext = {
  readonly clock: Clock;
  readonly connectTimeoutMilliseconds: number;
  readonly protocol: CallerProtocol;
  readonly router: SnapshotRouter;
  readonly servers: ServerTable;
  readonly placer: Placer;
  readonly metrics: GatewayMetrics;
  readonly writeEvent: WriteEvent;
  readonly lineOf: (service: ServiceName) => ServiceLine;
  readonly budgetOf: (service: ServiceName) => FleetBudget;
  readonly workOf: (route: SnapshotRoute) => RouteWork;
  /** Whether routes and backend servers are known. */
  readonly isReady: () => boolean;
  /** Whether requests are still taken while the entry leaves. */
  readonly isAccepting: () => boolean;
  /** Whether callers may keep their connections after an answer. */
  readonly keepsConnections: () => boolean;
  readonly isQuarantined: (fingerprint: string) => boolean;
  readonly onInFlightChange: (server: ServerLoad) => void;
  readonly onReport: (server: ServerLoad) => void;
  /** A request was answered, so it did not crash its server. */
  readonly onAnswered: (fingerprint: () => string) => void;
  /** A connection broke under a request; resolves when it is known why. */
  readonly onBroken: (
    fingerprint: string,
    server: ServerLoad,
  ) => Promise<void>;
};
