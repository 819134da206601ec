/**
 * Builds one entry from its components and owns their life cycle.
 *
 * The entry is acquired in an Effect scope: closing the scope stops its loops
 * and closes its ports and connections.
 */
import { randomBytes, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { splitAddress } from "@marigoldford/kernel/address";
import { AdoptedTables } from "@marigoldford/kernel/adopted_tables";
import { CHOOSING_POLICIES } from "@marigoldford/kernel/choosing_policy";
import type { ChoosingPolicyPlugIn } from "@marigoldford/kernel/choosing_policy";
import { EntryDirectory } from "@marigoldford/kernel/entry_directory";
import { mintKey } from "@marigoldford/kernel/idempotency_key";
import { isAcceptedWhileLeaving } from "@marigoldford/kernel/leaving_admission";
import {
  LeavingServers,
  type LeavingSource,
} from "@marigoldford/kernel/leaving_servers";
import { PauseDetector } from "@marigoldford/kernel/pause_detector";
import { ProtectedCallTable } from "@marigoldford/kernel/protected_call_table";
import { Quarantine } from "@marigoldford/kernel/quarantine";
import type { Address, EntryState } from "@marigoldford/kernel/types";
import { Logger } from "@marigoldford/logger/logger";
import { PlatformClient } from "@marigoldford/configuration_service/platform_client";
import type { PlatformInstance } from "@marigoldford/configuration_service/platform_client";
import "@marigoldford/kernel/aged_reports_policy";
import "@marigoldford/kernel/baseline_policies";
import type { Attempt } from "./attempt.ts";
import { CallDispatcher } from "./call_dispatcher.ts";
import { CallForwarder } from "./call_forwarder.ts";
import { CallServer, type OperatorPage } from "./call_server.ts";
import { ConnectionPools } from "./connection_pools.ts";
import { handOverTables } from "./hand_over.ts";
import { HandOverDirectory } from "./hand_over_directory.ts";
import { HealthPoller } from "./health_poller.ts";
import { IdempotentCalls } from "./idempotent_calls.ts";
import type { BufferedCall } from "./incoming_call.ts";
import { IntentionManager } from "./intention_manager.ts";
import { MeshService } from "./mesh_service.ts";
import { EntryMetrics } from "./metrics.ts";
import { makeOperatorPages } from "./operator_pages.ts";
import type { EntryOptions } from "./options.ts";
import { PlatformWatcher } from "./platform_watcher.ts";
import { ProtectedCalls } from "./protected_calls.ts";
import { ProtectedRunner } from "./protected_runner.ts";
import { ServicePools } from "./service_pools.ts";
import { sleepUnreferenced, waitAtMost } from "./timing.ts";

/** The entry could not start. */
export class EntryStartFailure extends Data.TaggedError("EntryStartFailure")<{
  readonly message: string;
}> {}

/** A running entry. */
export type EntryHandle = {
  readonly callAddress: Address;
  readonly meshAddress: Address;
  /** Address the mesh listens on, where `meshAddress` is an advertised one. */
  readonly meshListenAddress: Address;
  readonly incarnation: string;
  /** Shuts down gracefully; resolves when no call is left or time is up. */
  readonly leave: () => Promise<void>;
};

const START_ATTEMPTS = 10;
const START_RETRY_DELAY_MILLISECONDS = 200;
const ENTRY_REMOVAL_MILLISECONDS = 60_000;
const EXPIRY_INTERVAL_MILLISECONDS = 500;
const MAXIMUM_SUSPECTS = 10_000;
const MAXIMUM_ADOPTED_RECORDS = 200_000;
const PAUSE_CHECK_INTERVAL_MILLISECONDS = 500;
/** Lets the last heartbeat reach peers before the mesh closes. */
const FINAL_HEARTBEAT_DELAY_MILLISECONDS = 50;
const LOG = new Logger("entry");

function monotonicClock(): number {
  return performance.now();
}

/** Starts an entry; closing the scope stops it without draining. */
export function startEntry(
  options: EntryOptions,
): Effect.Effect<EntryHandle, EntryStartFailure, Scope.Scope> {
  return Effect.gen(function* () {
    const policy = CHOOSING_POLICIES.find(options.choosing.policy);
    if (policy.isErr()) {
      const { given, known } = policy.error;
      const message = `Setting choosing.policy is "${given}"; expected one ` +
        `of ${known.join(", ")}`;
      return yield* Effect.fail(new EntryStartFailure({ message }));
    }
    const entry = new Entry(options, policy.value);
    yield* Effect.acquireRelease(
      Effect.tryPromise({
        try: () => entry.start(),
        catch: (error) => new EntryStartFailure({ message: String(error) }),
      }),
      () => Effect.promise(() => entry.stop()),
    );
    return entry.handle();
  });
}

class Entry {
  readonly #options: EntryOptions;
  readonly #incarnation = randomBytes(16).toString("hex");
  readonly #clock = monotonicClock;
  readonly #metrics = new EntryMetrics();
  readonly #directory: EntryDirectory;
  readonly #leavingServers: LeavingServers;
  readonly #protectedCallTable: ProtectedCallTable;
  readonly #adoptedTables: AdoptedTables;
  readonly #handOvers: HandOverDirectory;
  readonly #quarantine: Quarantine;
  readonly #intentions: IntentionManager;
  readonly #servicePools: ServicePools;
  readonly #connectionPools: ConnectionPools;
  readonly #platform: PlatformClient;
  readonly #platformWatcher: PlatformWatcher;
  readonly #mesh: MeshService;
  readonly #forwarder: CallForwarder;
  readonly #protectedCalls: ProtectedCalls;
  readonly #server: CallServer;
  readonly #healthPoller: HealthPoller;
  readonly #pauseDetector: PauseDetector;
  readonly #timers: ReturnType<typeof setInterval>[] = [];
  #state: EntryState = "starting";
  #isAccepting = true;
  #leavingSinceMilliseconds = Infinity;
  #isStopped = false;
  #resync: Promise<void> | undefined;
  #recordVersion = 0;
  #callAddress = "";
  #meshAddress = "";
  #meshListenAddress = "";
  #leavePromise: Promise<void> | undefined;

  constructor(options: EntryOptions, policy: ChoosingPolicyPlugIn) {
    this.#options = options;
    const clock = this.#clock;
    const { calls, protectedCalls, mesh, health } = options;
    const keyLifetimeMilliseconds = protectedCalls.keyLifetimeMilliseconds;
    this.#directory = new EntryDirectory({
      clock,
      failureTimeoutMilliseconds: () => this.#mesh.failureTimeoutMilliseconds(),
      removalMilliseconds: ENTRY_REMOVAL_MILLISECONDS,
    });
    this.#leavingServers = new LeavingServers({
      clock,
      retentionMilliseconds: health.leavingMarkMilliseconds,
    });
    this.#protectedCallTable = new ProtectedCallTable({
      ...protectedCalls,
      clock,
      incarnation: this.#incarnation,
    });
    this.#adoptedTables = new AdoptedTables({
      clock,
      retentionMilliseconds: keyLifetimeMilliseconds,
      maximumRecords: MAXIMUM_ADOPTED_RECORDS,
    });
    this.#handOvers = new HandOverDirectory(clock, keyLifetimeMilliseconds);
    this.#quarantine = new Quarantine({
      clock,
      crashesToQuarantine: calls.quarantineCrashes,
      retentionMilliseconds: calls.quarantineMilliseconds,
      maximumSuspects: MAXIMUM_SUSPECTS,
    });
    this.#pauseDetector = new PauseDetector(clock, mesh.pauseMilliseconds);
    this.#servicePools = new ServicePools({
      clock,
      random: Math.random,
      policy,
      defaults: calls,
      isLeaving: (address) => this.#leavingServers.has(address),
    });
    this.#connectionPools = new ConnectionPools({
      idleMilliseconds: calls.idleConnectionMilliseconds,
      protectedIdleMilliseconds: protectedCalls.idleConnectionMilliseconds,
    });
    this.#intentions = new IntentionManager({
      onChange: (table) => {
        this.#servicePools.update(table);
        this.#leavingServers.setSheet(table.retiring);
        this.#connectionPools.closeAllExcept(this.#servicePools.addresses());
        for (const address of table.retiring) {
          this.#connectionPools.closeIdle(address);
        }
      },
      onAdopted: (rows) => this.#mesh.pushIntentions(rows),
    });
    this.#forwarder = new CallForwarder({
      clock,
      metrics: this.#metrics,
      intentions: this.#intentions,
      pools: this.#servicePools,
      ownerTimeoutMilliseconds: protectedCalls.ownerTimeoutMilliseconds,
    });
    this.#mesh = this.#makeMesh();
    this.#platform = new PlatformClient({
      baseUrl: options.platform.url,
      valuePrefix: options.platform.valuePrefix,
      timeoutMilliseconds: options.platform.readTimeoutMilliseconds,
    });
    this.#platformWatcher = new PlatformWatcher({
      client: this.#platform,
      settings: options.platform,
      directory: this.#directory,
      incarnation: this.#incarnation,
      failureDomain: options.instance.failureDomain,
      clock,
      onValues: (values) => this.#intentions.applyPlatformValues(values),
      onInstances: (instances) => this.#applyInstances(instances),
    });
    const dispatcher = this.#makeDispatcher();
    this.#protectedCalls = this.#makeProtectedCalls(dispatcher);
    this.#server = this.#makeServer(dispatcher);
    this.#healthPoller = new HealthPoller({
      settings: health,
      entriesCeiling: calls.entriesCeiling,
      clock,
      random: Math.random,
      incarnation: this.#incarnation,
      directory: this.#directory,
      pools: this.#servicePools,
      metrics: this.#metrics,
      onLeaving: (address) => this.#recordLeaving(address, "health"),
    });
  }

  handle(): EntryHandle {
    return {
      callAddress: this.#callAddress,
      meshAddress: this.#meshAddress,
      meshListenAddress: this.#meshListenAddress,
      incarnation: this.#incarnation,
      leave: () => this.#leave(),
    };
  }

  /** Opens the ports, then loads the intentions in a limited number of tries. */
  async start(): Promise<void> {
    const { instance } = this.#options;
    const call = splitAddress(instance.callAddress);
    const mesh = splitAddress(instance.meshAddress);
    const meshPort = await this.#mesh.node.listen();
    const callPort = await this.#server.listen(call);
    this.#callAddress = instance.advertisedCallAddress ??
      `${formatHost(call.host)}:${callPort}`;
    this.#meshListenAddress = `${formatHost(mesh.host)}:${meshPort}`;
    this.#meshAddress = instance.advertisedMeshAddress ??
      this.#meshListenAddress;
    this.#announce();
    await this.#loadIntentions();
    this.#state = "serving";
    this.#mesh.sendHeartbeats();
    this.#startLoops();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#state = "stopped";
    for (const timer of this.#timers) clearInterval(timer);
    await this.#server.close();
    await this.#mesh.node.close();
    this.#connectionPools.close();
    this.#platform.close();
  }

  #makeMesh(): MeshService {
    const { instance, mesh } = this.#options;
    const { host, port } = splitAddress(instance.meshAddress);
    return new MeshService({
      settings: mesh,
      incarnation: this.#incarnation,
      listenHost: host,
      listenPort: port,
      random: Math.random,
      directory: this.#directory,
      intentions: this.#intentions,
      leavingServers: this.#leavingServers,
      adopted: this.#adoptedTables,
      handOvers: this.#handOvers,
      state: () => this.#state,
      hooks: {
        onForward: (content) =>
          this.#forwarder.answer(content, this.#protectedCalls),
        onSuspicion: (suspicion) => this.#quarantine.record(suspicion),
      },
    });
  }

  #makeDispatcher(): CallDispatcher {
    return new CallDispatcher({
      clock: this.#clock,
      connectionPools: this.#connectionPools,
      metrics: this.#metrics,
      connectTimeoutMilliseconds:
        this.#options.calls.connectTimeoutMilliseconds,
      resyncAfterPause: () => this.#resyncAfterPause(),
      isSuspect: (call) =>
        this.#quarantine.size > 0 &&
        this.#quarantine.isSuspect(call.fingerprint()),
      onLeaving: (address) => this.#recordLeaving(address, "answer"),
      onBroken: (attempt) => this.#recordCrashSuspicion(attempt),
    });
  }

  #makeProtectedCalls(dispatcher: CallDispatcher): ProtectedCalls {
    const { protectedCalls } = this.#options;
    const runner = new ProtectedRunner({
      clock: this.#clock,
      dispatcher,
      metrics: this.#metrics,
      lateAnswerMilliseconds: protectedCalls.lateAnswerMilliseconds,
      maximumAnswerBytes: protectedCalls.maximumAnswerBytes,
    });
    return new ProtectedCalls({
      clock: this.#clock,
      table: this.#protectedCallTable,
      adopted: this.#adoptedTables,
      runner,
      routingInputs: {
        self: this.#incarnation,
        isReachable: (entry) => this.#directory.find(entry) !== undefined,
        handOverOf: (leaver) => this.#handOvers.find(leaver),
      },
      isQuarantined: (call) => this.#isQuarantined(call),
      endsBeforeExit: (milliseconds) => this.#endsBeforeExit(milliseconds),
      forward: (forwarded) => this.#forwarder.forward(forwarded, this.#mesh),
    });
  }

  #makeServer(dispatcher: CallDispatcher): CallServer {
    const isQuarantined = (call: BufferedCall) => this.#isQuarantined(call);
    const idempotentCalls = new IdempotentCalls({
      clock: this.#clock,
      dispatcher,
      metrics: this.#metrics,
      isQuarantined,
      clearSuspicion: (call) => {
        if (this.#quarantine.size === 0) return;
        this.#quarantine.clearSuspicion(call.fingerprint());
      },
    });
    return new CallServer({
      settings: this.#options.calls,
      clock: this.#clock,
      intentions: this.#intentions,
      pools: this.#servicePools,
      idempotentCalls,
      protectedCalls: this.#protectedCalls,
      metrics: this.#metrics,
      state: () => this.#state,
      isAccepting: (timeLimitMilliseconds) =>
        this.#isAccepting && this.#endsBeforeExit(timeLimitMilliseconds),
      isQuarantined,
      suggestKey: () => this.#suggestKey(),
      pages: this.#makePages(),
    });
  }

  /** Computes the fingerprint, a costly digest, only if there are suspects. */
  #isQuarantined(call: BufferedCall): boolean {
    return this.#quarantine.size > 0 &&
      this.#quarantine.isQuarantined(call.fingerprint());
  }

  #makePages(): Map<string, OperatorPage> {
    return makeOperatorPages({
      clock: this.#clock,
      random: Math.random,
      answerValidMilliseconds: this.#options.calls.answerValidMilliseconds,
      callsInProgress: () => this.#server.inProgress,
      incarnation: this.#incarnation,
      state: () => this.#state,
      intentions: this.#intentions,
      pools: this.#servicePools,
      leavingServers: this.#leavingServers,
      directory: this.#directory,
      handOvers: this.#handOvers,
      protectedCallTable: this.#protectedCallTable,
      quarantine: this.#quarantine,
      watcher: this.#platformWatcher,
      platformReads: () => this.#platform.reads,
      mesh: this.#mesh.node,
      metrics: this.#metrics,
    });
  }

  #announce(): void {
    this.#recordVersion += 1;
    this.#mesh.announce({
      incarnation: this.#incarnation,
      callAddress: this.#callAddress,
      meshAddress: this.#meshAddress,
      failureDomain: this.#options.instance.failureDomain,
      keyPrefix: this.#protectedCallTable.keyPrefix(),
      issue: this.#recordVersion,
    });
  }

  /**
   * Tries to load from the platform and from peers. If no attempt yields
   * intentions, the entry starts without any and refuses calls until some
   * arrive.
   */
  async #loadIntentions(): Promise<void> {
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt++) {
      await Promise.all([
        this.#platformWatcher.readOnce(),
        this.#platformWatcher.readInstances(),
      ]);
      await this.#mesh.sync();
      if (this.#intentions.hasIntentions || this.#isStopped) return;
      await sleep(START_RETRY_DELAY_MILLISECONDS);
    }
  }

  #startLoops(): void {
    const { mesh, platform } = this.#options;
    this.#sendHeartbeatsUntilStopped();
    this.#every(mesh.recordIntervalMilliseconds, () => this.#announce());
    this.#every(
      platform.instanceListIntervalMilliseconds,
      () => this.#platformWatcher.readInstancesWhenDue(),
    );
    this.#every(EXPIRY_INTERVAL_MILLISECONDS, () => this.#dropExpired());
    this.#every(
      PAUSE_CHECK_INTERVAL_MILLISECONDS,
      () => this.#resyncAfterPause(),
    );
    this.#every(
      this.#healthPoller.tickIntervalMilliseconds,
      () => this.#healthPoller.tick(),
    );
    this.#watchPlatform();
  }

  #every(milliseconds: number, run: () => void): void {
    this.#timers.push(setInterval(run, milliseconds));
  }

  async #sendHeartbeatsUntilStopped(): Promise<void> {
    while (!this.#isStopped) {
      const intervalMilliseconds = this.#mesh.sendHeartbeats();
      await sleepUnreferenced(intervalMilliseconds);
    }
  }

  async #watchPlatform(): Promise<void> {
    while (!this.#isStopped) {
      const delayMilliseconds = await this.#platformWatcher.watchOrRead();
      await sleepUnreferenced(delayMilliseconds);
    }
  }

  #dropExpired(): void {
    this.#protectedCallTable.dropExpired();
    this.#adoptedTables.dropExpired();
    this.#handOvers.dropExpired();
  }

  #applyInstances(instances: readonly PlatformInstance[]): void {
    const leaving = new Set<Address>();
    const meshAddresses: Address[] = [];
    for (const instance of instances) {
      const isBackend = instance.role === "backend-server";
      if (isBackend && instance.state === "leaving") {
        leaving.add(instance.address);
        this.#recordLeaving(instance.address, "instance-list");
      }
      if (!isBackend && instance.meshAddress !== undefined) {
        meshAddresses.push(instance.meshAddress);
      }
    }
    this.#leavingServers.setInstanceList(leaving);
    this.#mesh.setListedAddresses(meshAddresses);
  }

  #recordLeaving(address: Address, source: LeavingSource): void {
    const isBroadcastDue = this.#leavingServers.recordSignal(address, {
      source,
    });
    if (!isBroadcastDue) return;
    LOG.write("backend-server-leaving", () => ({ address, source }));
    this.#connectionPools.closeIdle(address);
    this.#mesh.pushLeaving(address);
  }

  #recordCrashSuspicion(attempt: Attempt): void {
    const fingerprint = attempt.call.fingerprint();
    const suspicion = { fingerprint, address: attempt.server.address };
    if (!this.#quarantine.record(suspicion)) return;
    LOG.write("crash-suspicion", () => suspicion);
    this.#mesh.pushSuspicion(suspicion);
  }

  /**
   * After a pause of the process, syncs state from peers; the promise resolves
   * when one has answered or the request has timed out. Undefined if state is
   * current.
   */
  #resyncAfterPause(): Promise<void> | undefined {
    if (!this.#pauseDetector.recordTick()) return this.#resync;
    this.#metrics.pauses += 1;
    LOG.write("paused", () => ({ pauses: this.#pauseDetector.pauses }));
    this.#resync = this.#mesh.sync().then(() => {
      this.#resync = undefined;
    });
    return this.#resync;
  }

  #suggestKey(): string | undefined {
    if (this.#state === "serving") {
      return mintKey(this.#protectedCallTable.keyPrefix(), randomUUID());
    }
    const [peer] = this.#directory.servingEntries();
    if (peer === undefined) return undefined;
    return mintKey(peer.keyPrefix, randomUUID());
  }

  /** Whether a call ends before a leaving entry stops waiting for calls. */
  #endsBeforeExit(timeLimitMilliseconds: number): boolean {
    if (this.#state !== "leaving") return true;
    const { graceMilliseconds, drainMilliseconds } = this.#options.shutdown;
    const leavingMilliseconds = this.#clock() - this.#leavingSinceMilliseconds;
    return isAcceptedWhileLeaving({
      leavingMilliseconds,
      untilExitMilliseconds: graceMilliseconds + drainMilliseconds -
        leavingMilliseconds,
      timeLimitMilliseconds,
      objectiveMilliseconds: timeLimitMilliseconds,
    });
  }

  #leave(): Promise<void> {
    this.#leavePromise ??= this.#leaveOnce();
    return this.#leavePromise;
  }

  /**
   * Leaves in order: announces it to peers and callers; keeps serving until
   * the lists of entries that name this one have expired; accepts no new calls;
   * waits for running protected calls; hands its tables over; waits for the
   * remaining requests; stops.
   */
  async #leaveOnce(): Promise<void> {
    const { shutdown } = this.#options;
    LOG.write("leaving", () => ({ incarnation: this.#incarnation }));
    this.#state = "leaving";
    this.#leavingSinceMilliseconds = this.#clock();
    this.#mesh.sendHeartbeats();
    await sleep(shutdown.graceMilliseconds);
    this.#isAccepting = false;
    this.#protectedCallTable.closePermanently();
    const drainMilliseconds = shutdown.drainMilliseconds;
    await waitAtMost(this.#protectedCalls.waitForRuns(), drainMilliseconds);
    const successor = await handOverTables({
      clock: this.#clock,
      incarnation: this.#incarnation,
      table: this.#protectedCallTable,
      adopted: this.#adoptedTables,
      directory: this.#directory,
      mesh: this.#mesh.node,
      timeoutMilliseconds: shutdown.handOverMilliseconds,
    });
    if (successor !== undefined) {
      this.#handOvers.record({ leaver: this.#incarnation, successor });
    }
    await this.#server.drain(drainMilliseconds);
    this.#state = "stopped";
    this.#mesh.sendHeartbeats();
    await sleep(FINAL_HEARTBEAT_DELAY_MILLISECONDS);
  }
}

function formatHost(host: string): string {
  return host.includes(":") ? `[${host}]` : host;
}
