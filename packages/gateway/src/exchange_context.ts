/**
 * Parts and state of the entry that a request exchange uses.
 */
import type { ServerResponse } from "node:http";
import type { LeavingAdmissionInputs } from "@marigoldford/kernel/leaving_admission";
import type { ServerReach } from "@marigoldford/kernel/server_reach";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import type { Clock } from "@marigoldford/kernel/types";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { ConnectionGuard } from "./callers/connection_guard.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { DiscoverySynchronizer } from "./discovery_synchronizer.ts";
import type { WriteEvent } from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { PeerForwarder } from "./peer_forwarder.ts";
import type { Placer } from "./placer.ts";
import type { ServiceStates } from "./service_states.ts";
import type { ServerStatements } from "./server_statements.ts";
import type { ServerTable } from "./server_table.ts";

export type ExchangeContext = {
  readonly clock: Clock;
  readonly connectTimeoutMilliseconds: number;
  readonly protocol: CallerProtocol;
  readonly router: SnapshotRouter;
  readonly servers: ServerTable;
  readonly statements: ServerStatements;
  readonly placer: Placer;
  readonly metrics: GatewayMetrics;
  readonly writeEvent: WriteEvent;
  readonly services: ServiceStates;
  readonly crashDetector: CrashDetector;
  readonly reach: ServerReach;
  readonly forwarder: Pick<PeerForwarder, "reachOf" | "choose">;
  /** Who sends the requests; those of peers are not passed on again. */
  readonly origin: "caller" | "peer";
  /** Whether routes and backend servers are known. */
  readonly isReady: () => boolean;
  /** Whether the known routes and servers are recent enough to decide by. */
  readonly discovery: Pick<DiscoverySynchronizer, "isUsable" | "whenUsable">;
  /** Whether a request is accepted; a leaving entry refuses some. */
  readonly isAccepting: (
    request: Pick<
      LeavingAdmissionInputs,
      "timeLimitMilliseconds" | "objectiveMilliseconds"
    >,
  ) => boolean;
  /** Whether a caller's connection stays open after an answer. */
  readonly mayKeepConnections: (response: ServerResponse) => boolean;
  readonly guard: ConnectionGuard;
  readonly onInFlightChange: () => void;
  /** Called when a request at a server has ended. */
  readonly offerSlot: (server: ServerLoad) => void;
  readonly onReport: (server: ServerLoad) => void;
};
