/**
 * The status page for operators, `/marigoldford/status`.
 */
import process from "node:process";
import type { EntryDirectory } from "@marigoldford/kernel/entry_directory";
import type { RefusedRow } from "@marigoldford/kernel/intention_store";
import type { LeavingServers } from "@marigoldford/kernel/leaving_servers";
import type { BackendServerState } from "@marigoldford/kernel/backend_server_state";
import type { ProtectedCallTable } from "@marigoldford/kernel/protected_call_table";
import type { Quarantine } from "@marigoldford/kernel/quarantine";
import type { ServicePool } from "@marigoldford/kernel/service_pool";
import type {
  Clock,
  EntryState,
  Incarnation,
} from "@marigoldford/kernel/types";
import type { MeshNode } from "@marigoldford/mesh/mesh_node";
import type { HandOverDirectory } from "./hand_over_directory.ts";
import type { IntentionManager } from "./intention_manager.ts";
import type { EntryMetrics } from "./metrics.ts";
import type { PlatformWatcher } from "./platform_watcher.ts";
import type { ServicePools } from "./service_pools.ts";

export type StatusSources = {
  readonly clock: Clock;
  readonly incarnation: Incarnation;
  readonly state: () => EntryState;
  readonly intentions: IntentionManager;
  readonly pools: ServicePools;
  readonly leavingServers: LeavingServers;
  readonly directory: EntryDirectory;
  readonly handOvers: HandOverDirectory;
  readonly protectedCallTable: ProtectedCallTable;
  readonly quarantine: Quarantine;
  readonly watcher: PlatformWatcher;
  readonly platformReads: () => number;
  readonly mesh: MeshNode;
  readonly metrics: EntryMetrics;
};

/** The status as a value for JSON. */
export function describeStatus(sources: StatusSources) {
  return {
    entry: {
      incarnation: sources.incarnation,
      state: sources.state(),
      pauses: sources.metrics.pauses,
      memoryBytes: process.memoryUsage.rss(),
      processorMicroseconds: process.cpuUsage(),
    },
    platform: {
      isConnected: sources.watcher.isConnected,
      isWatcher: sources.watcher.isWatcher,
      newestVersion: sources.watcher.newestVersion,
      reads: sources.platformReads(),
    },
    intentions: describeIntentions(sources.intentions),
    services: sources.pools.all().map((pool) => describePool(pool, sources)),
    peers: describePeers(sources),
    handOvers: sources.handOvers.all(),
    protectedCalls: {
      keys: sources.protectedCallTable.keyCount,
      bytes: sources.protectedCallTable.bytes,
    },
    quarantine: { suspects: sources.quarantine.size },
    traffic: sources.mesh.traffic.counts(),
  };
}

function describeIntentions(intentions: IntentionManager) {
  return {
    digest: intentions.store.rootDigest(),
    inForce: intentions.store.rows().map((row) => ({
      intention: row.intention,
      revision: row.revision,
      isWithdrawn: row.isWithdrawn,
      content: row.content,
      origin: row.origin,
    })),
    refusedRows: intentions.refusedRows().map(describeRefusedRow),
    sheetFaults: intentions.sheetFaults(),
  };
}

function describeRefusedRow({ row, reason, inForce }: RefusedRow) {
  return {
    intention: row.intention,
    revision: row.revision,
    origin: row.origin,
    reason,
    inForceRevision: inForce.revision,
    inForceOrigin: inForce.origin,
  };
}

function describePool(pool: ServicePool, sources: StatusSources) {
  return {
    service: pool.service,
    queued: pool.queue.length,
    retries: { spent: pool.retryBudget.spent, denied: pool.retryBudget.denied },
    hedges: { spent: pool.hedgeBudget.spent, denied: pool.hedgeBudget.denied },
    backendServers: pool.servers.map((server) =>
      describeServer(server, sources)
    ),
  };
}

function describeServer(server: BackendServerState, sources: StatusSources) {
  const leavingSource = sources.leavingServers.sourceOf(server.address);
  return {
    address: server.address,
    failureDomain: server.intention.failureDomain,
    condition: leavingSource === undefined
      ? server.condition(sources.clock())
      : "leaving",
    leavingSource,
    ownInFlight: server.ownInFlight,
    reportedInFlight: server.report?.inFlight,
    latencyMilliseconds: server.latencyMilliseconds,
  };
}

function describePeers({ directory, incarnation }: StatusSources) {
  return directory.liveEntries()
    .filter((record) => record.incarnation !== incarnation)
    .map((record) => ({
      incarnation: record.incarnation,
      callAddress: record.callAddress,
      meshAddress: record.meshAddress,
      failureDomain: record.failureDomain,
      state: directory.stateOf(record.incarnation),
    }));
}
