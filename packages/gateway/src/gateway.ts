/**
 * Builds one gateway entry from its parts and owns their life cycle.
 */
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { splitAddress } from "@marigoldford/kernel/address";
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import { entriesForCaller } from "@marigoldford/kernel/entries_for_caller";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { PauseDetector } from "@marigoldford/kernel/pause_detector";
import { RateBudget } from "@marigoldford/kernel/rate_budget";
import { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import type { Address } from "@marigoldford/kernel/types";
import { EventLog } from "@marigoldford/logger/event_log";
import type { CallerProtocol } from "./caller_protocol.ts";
import { CALLER_PROTOCOLS } from "./caller_protocol.ts";
import { CrashDetector } from "./crash_detector.ts";
import { DatagramSocket } from "./datagram_socket.ts";
import { DiscoverySynchronizer } from "./discovery_synchronizer.ts";
import type { DiscoverySource } from "./discovery_source.ts";
import { makeEventWriter, type WriteEvent } from "./events.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { FleetMembership } from "./fleet_membership.ts";
import type { FleetDatagram, FleetFrame } from "./fleet_messages.ts";
import { FrameConnections, type FrameReply } from "./frame_connections.ts";
import { CallServer } from "./call_server.ts";
import { LoadExchange } from "./load_exchange.ts";
import { GatewayMetrics } from "./metrics.ts";
import type { GatewayOptions } from "./options.ts";
import {
  AUXILIARY_SERVERS,
  type AuxiliaryServer,
  DISCOVERY_SOURCES,
} from "./plug_ins.ts";
import { Placer } from "./placer.ts";
import { Prober } from "./prober.ts";
import { ServerTable } from "./server_table.ts";
import { ServiceStates } from "./service_states.ts";
import { TUNING } from "./tuning.ts";
import "./metrics_server.ts";

/** The gateway could not start. */
export class GatewayStartFailure
  extends Data.TaggedError("GatewayStartFailure")<{
    readonly message: string;
  }> {}

export type GatewayHandle = {
  /** Leaves without cutting a request; resolves when the process may end. */
  readonly leave: () => Promise<void>;
  readonly logReload: (outcome: string) => void;
};

const HOUSEKEEPING_MILLISECONDS = 100;
const PAUSE_MILLISECONDS = 600;
const TRAFFIC_LINE_MILLISECONDS = 5_000;
const READING_REQUEST_MILLISECONDS = 200;
const MILLISECONDS_IN_SECOND = 1_000;
/** Requests that arrive this late in the grace period are sent elsewhere. */
const LAST_REQUESTS_MILLISECONDS = 1_800;
/** The process ends this long before it would be killed. */
const END_MARGIN_MILLISECONDS = 500;
/** A leaving entry with no request for this long has lost its callers. */
const QUIET_MILLISECONDS = 500;
/** Callers keep an answer of the directory at least this long. */
const LEAST_LEAVE_MILLISECONDS = 3_000;
const LEAVE_CHECK_MILLISECONDS = 25;

/** Mesh addresses of seeds; settings may name others while the entry runs. */
export type SeedReader = () => readonly Address[];

/** Starts a gateway; closing the scope stops it at once. */
export function startGateway(
  options: GatewayOptions,
  readSeeds: SeedReader = () => options.seeds,
): Effect.Effect<GatewayHandle, GatewayStartFailure, Scope.Scope> {
  return Effect.gen(function* () {
    const protocol = CALLER_PROTOCOLS.find(options.protocol);
    const source = DISCOVERY_SOURCES.find(options.discovery.source);
    if (protocol.isErr() || source.isErr()) {
      const { given, known } = protocol.isErr()
        ? protocol.error
        : source._unsafeUnwrapErr();
      const message = `Plug-in "${given}" is unknown; expected one of ` +
        known.join(", ");
      return yield* Effect.fail(new GatewayStartFailure({ message }));
    }
    const log = new EventLog({
      clock: () => performance.now(),
      wallClock: () => Date.now(),
      linesPerSecond: TUNING.linesPerSecond,
    });
    const writeEvent = makeEventWriter(log);
    const gateway = new Gateway(options, {
      protocol: protocol.value,
      source: source.value({ writeEvent }, options.discovery),
      readSeeds,
      writeEvent,
    });
    yield* Effect.acquireRelease(
      Effect.tryPromise({
        try: () => gateway.start(),
        catch: (error) => new GatewayStartFailure({ message: String(error) }),
      }),
      () => Effect.sync(() => gateway.stop()),
    );
    return {
      leave: () => gateway.leave(),
      logReload: (outcome: string) => writeEvent({ event: "reload", outcome }),
    };
  });
}

type GatewayParts = {
  readonly protocol: CallerProtocol;
  readonly source: DiscoverySource;
  readonly readSeeds: SeedReader;
  readonly writeEvent: WriteEvent;
};

class Gateway {
  readonly #options: GatewayOptions;
  readonly #writeEvent: WriteEvent;
  readonly #readSeeds: SeedReader;
  readonly #clock = () => performance.now();
  readonly #incarnation = randomBytes(6).toString("hex");
  readonly #metrics = new GatewayMetrics();
  readonly #router = new SnapshotRouter(Math.random);
  readonly #services: ServiceStates;
  readonly #servers: ServerTable;
  readonly #port: DatagramSocket;
  readonly #links: FrameConnections;
  readonly #keeper: DiscoverySynchronizer;
  readonly #fleet: FleetMembership;
  readonly #load: LoadExchange;
  readonly #prober: Prober;
  readonly #placer: Placer;
  readonly #callServer: CallServer;
  readonly #crashDetector: CrashDetector;
  readonly #pauses: PauseDetector;
  readonly #sidePorts: AuxiliaryServer[];
  readonly #timers: ReturnType<typeof setInterval>[] = [];
  readonly #startedAt = performance.now();
  #readingAskedAt = -Infinity;
  #leaveAt = Infinity;
  #timeOfDayOffset = Date.now() - performance.now();

  constructor(options: GatewayOptions, parts: GatewayParts) {
    this.#options = options;
    this.#writeEvent = parts.writeEvent;
    this.#readSeeds = parts.readSeeds;
    const clock = this.#clock;
    const { instance } = options;
    this.#servers = new ServerTable({ clock, ...TUNING.connections });
    this.#pauses = new PauseDetector(clock, PAUSE_MILLISECONDS);
    this.#port = new DatagramSocket({
      address: instance.datagramAddress,
      onDatagram: (datagram, sender) => this.#onDatagram(datagram, sender),
      onUnreadable: (peer, { detail }) => this.#refusePeer(peer, detail),
      onSendFailure: () => this.#metrics.incrementCounter("datagrams_unsent"),
    });
    this.#links = new FrameConnections({
      listenAddress: instance.meshAddress,
      silenceMilliseconds: TUNING.meshIdleTimeoutMilliseconds,
      onFrame: (frame, reply) => this.#onFrame(frame, reply),
      onRefused: (peer, detail) => this.#refusePeer(peer, detail),
    });
    this.#fleet = this.#makeFleet();
    this.#keeper = new DiscoverySynchronizer({
      source: parts.source,
      clock,
      random: Math.random,
      settings: TUNING.discovery,
      self: this.#incarnation,
      eligibleWatchers: () =>
        this.#staying().map(({ incarnation }) => incarnation),
      onChange: (changes) => this.#onDiscovery(changes),
      onUpdate: (answer) => this.#tellPeers(answer),
      writeEvent: this.#writeEvent,
      onServiceCall: (outcome) =>
        this.#metrics.incrementCounter(
          `discovery_calls_${outcome.replaceAll("-", "_")}`,
        ),
    });
    this.#load = new LoadExchange({
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      clock,
      settings: TUNING.load,
      socket: this.#port,
      servers: this.#servers,
      peers: () => this.#fleet.members.livePeers(),
    });
    this.#prober = new Prober({
      self: this.#incarnation,
      clock,
      settings: TUNING.probe,
      budget: new RateBudget(clock, () => this.#probesPerSecond()),
      protocol: parts.protocol,
      servers: this.#servers,
      members: () => this.#staying(),
      healthPathOf: (service) => this.#router.service(service)?.healthPath,
      onReport: (server) => this.#load.queueReport(server),
      onProbe: () => this.#metrics.incrementCounter("probes"),
    });
    this.#placer = new Placer({
      clock,
      random: Math.random,
      failureDomain: instance.failureDomain,
      crossDomainCost: TUNING.crossDomainCost,
      servers: this.#servers,
      prober: this.#prober,
    });
    this.#services = new ServiceStates({
      clock,
      bounds: options.bounds,
      memberCount: () => this.#fleet.members.budgetDivisor(),
    });
    this.#crashDetector = new CrashDetector({
      self: this.#incarnation,
      clock,
      settings: TUNING.crashes,
      socket: this.#port,
      prober: this.#prober,
      peers: () => this.#fleet.members.livePeers(),
      writeEvent: this.#writeEvent,
    });
    this.#callServer = new CallServer(this.#exchangeContext(parts.protocol));
    this.#sidePorts = this.#makeSidePorts();
  }

  async start(): Promise<void> {
    const { instance } = this.#options;
    this.#writeEvent({
      event: "start",
      entry: instance.name,
      incarnation: this.#incarnation,
      domain: instance.failureDomain,
    });
    await Promise.all([
      this.#port.open(),
      this.#links.open(),
      this.#callServer.open(instance.callAddress),
      ...this.#sidePorts.map((port) => port.open()),
    ]);
    this.#fleet.start();
    this.#keeper.start();
    this.#load.start();
    this.#prober.start();
    this.#every(HOUSEKEEPING_MILLISECONDS, () => this.#housekeep());
    this.#every(TRAFFIC_LINE_MILLISECONDS, () => this.#writeTraffic());
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#keeper.stop();
    this.#load.stop();
    this.#prober.stop();
    this.#fleet.stop();
    for (const port of this.#sidePorts) port.close();
    this.#callServer.closeAll();
    this.#links.close();
    this.#port.close();
    this.#servers.close();
  }

  /** Serves on while callers still come, then stops listening and ends. */
  async leave(): Promise<void> {
    if (Number.isFinite(this.#leaveAt)) return;
    this.#leaveAt = this.#clock();
    this.#writeEvent({
      event: "stop-requested",
      inProgress: this.#callServer.inProgress,
    });
    this.#fleet.enterState("leaving");
    const endAt = this.#leaveAt + this.#graceMilliseconds -
      END_MARGIN_MILLISECONDS;
    while (this.#clock() < endAt && !this.#hasLostItsCallers()) {
      await sleep(LEAVE_CHECK_MILLISECONDS);
    }
    this.#callServer.stopListening();
    while (this.#clock() < endAt && this.#callServer.inProgress > 0) {
      await sleep(LEAVE_CHECK_MILLISECONDS);
    }
    this.#fleet.enterState("stopped");
    this.#writeEvent({
      event: "stop",
      inProgress: this.#callServer.inProgress,
      reason: "asked to stop",
    });
    await sleep(LEAVE_CHECK_MILLISECONDS);
  }

  get #graceMilliseconds(): number {
    return this.#options.bounds.graceSeconds * MILLISECONDS_IN_SECOND;
  }

  get #sinceLeave(): number {
    return this.#clock() - this.#leaveAt;
  }

  #hasLostItsCallers(): boolean {
    return this.#sinceLeave > LEAST_LEAVE_MILLISECONDS &&
      this.#callServer.inProgress === 0 &&
      this.#callServer.idleMilliseconds > QUIET_MILLISECONDS;
  }

  #every(milliseconds: number, action: () => void): void {
    this.#timers.push(setInterval(action, milliseconds));
  }

  #makeFleet(): FleetMembership {
    const { instance } = this.#options;
    return new FleetMembership({
      clock: this.#clock,
      random: Math.random,
      self: {
        incarnation: this.#incarnation,
        callAddress: instance.callAddress,
        meshAddress: instance.meshAddress,
        datagramAddress: instance.datagramAddress,
        failureDomain: instance.failureDomain,
      },
      seeds: () => this.#seedAddresses(),
      socket: this.#port,
      discoveryFreshness: () => this.#keeper.freshness,
      writeEvent: this.#writeEvent,
    });
  }

  /** Entries that take on work of the fleet; one that leaves does not. */
  #staying(): MemberRecord[] {
    return this.#fleet.members.liveMembers().filter(({ state }) =>
      state !== "leaving"
    );
  }

  /** Seeds as the settings name them now; ports are the same everywhere. */
  #seedAddresses(): Address[] {
    const { port } = splitAddress(this.#options.instance.datagramAddress);
    return this.#readSeeds().map((seed) =>
      `${splitAddress(seed).host}:${port}`
    );
  }

  #makeSidePorts(): AuxiliaryServer[] {
    const view = {
      isReady: () => this.#fleet.state === "serving",
      entryAddressesFor: (failureDomain: string | undefined): Address[] =>
        entriesForCaller(this.#fleet.members.liveMembers(), failureDomain),
      metricsText: () => this.#metricsText(),
    };
    return AUXILIARY_SERVERS.names().map((name) =>
      AUXILIARY_SERVERS.find(name)._unsafeUnwrap()(view, this.#options)
    );
  }

  #exchangeContext(protocol: CallerProtocol): ExchangeContext {
    return {
      clock: this.#clock,
      connectTimeoutMilliseconds: TUNING.connectTimeoutMilliseconds,
      protocol,
      router: this.#router,
      servers: this.#servers,
      placer: this.#placer,
      metrics: this.#metrics,
      writeEvent: this.#writeEvent,
      services: this.#services,
      isReady: () => this.#fleet.state !== "starting",
      isAccepting: () =>
        !(this.#sinceLeave >
          this.#graceMilliseconds - LAST_REQUESTS_MILLISECONDS),
      mayKeepConnections: () => !Number.isFinite(this.#leaveAt),
      crashDetector: this.#crashDetector,
      onInFlightChange: () => this.#load.scheduleInFlightUpdate(),
      onReport: (server) => this.#load.queueReport(server),
    };
  }

  /** This entry's part of the health checks that the fleet may make. */
  #probesPerSecond(): number {
    const { probesPerSecond } = this.#options.bounds;
    return TUNING.probeBudgetShare * probesPerSecond * this.#servers.size /
      this.#fleet.members.budgetDivisor();
  }

  #onDiscovery(changes: readonly DiscoveryChange[]): void {
    this.#servers.sync(this.#keeper.state);
    this.#prober.reassign();
    for (const change of changes) this.#logChange(change);
    const { snapshot } = this.#keeper.state;
    if (snapshot !== undefined && this.#router.adopt(snapshot)) {
      this.#callServer.setLimits(snapshot.limits);
      this.#writeEvent({
        event: "configuration-adopted",
        version: snapshot.version,
        from: this.#keeper.isWatching ? "service" : "peer",
        routes: snapshot.routes.length,
      });
    }
    if (snapshot === undefined || this.#servers.size === 0) return;
    if (this.#fleet.state !== "starting") return;
    this.#fleet.enterState("serving");
    this.#writeEvent({
      event: "ready",
      version: snapshot.version,
      servers: this.#servers.size,
      afterMilliseconds: Math.round(this.#clock() - this.#startedAt),
    });
  }

  #logChange(change: DiscoveryChange): void {
    if (change.kind === "snapshot") return;
    const from = this.#keeper.isWatching ? "service" : "peer";
    if (change.kind === "gone") {
      this.#writeEvent({
        event: "server-changed",
        server: change.id,
        change: change.reason,
        from,
        revision: change.revision,
      });
      return;
    }
    const { id, service, state } = change.registration;
    this.#writeEvent({
      event: "server-changed",
      server: id,
      service,
      change: state,
      from,
      revision: change.revision,
    });
  }

  #tellPeers(
    answer: {
      baseRevision: number;
      revision: number;
      changes: readonly DiscoveryChange[];
    },
  ): void {
    const peers = this.#fleet.members.livePeers();
    if (answer.changes.length === 0) {
      this.#port.send(peers.map(({ datagramAddress }) => datagramAddress), {
        kind: "news",
        from: this.#incarnation,
        news: this.#keeper.freshness,
      });
      return;
    }
    for (const { meshAddress } of peers) {
      this.#links.send(meshAddress, {
        kind: "changes",
        ...answer,
        ageMilliseconds: 0,
      });
    }
  }

  #onDatagram(datagram: FleetDatagram, sender: Address): void {
    if (datagram.from === this.#incarnation) return;
    switch (datagram.kind) {
      case "members":
        this.#fleet.receive(datagram, sender);
        this.#takeNews(datagram.news, sender);
        return;
      case "who":
        this.#fleet.sendRecords(datagram, sender);
        return;
      case "news":
        this.#takeNews(datagram.news, sender);
        return;
      case "load":
        this.#load.receive(datagram);
        return;
      case "crash":
        this.#crashDetector.recordPeerCrash(datagram);
        return;
    }
  }

  #takeNews(
    news: { revision: number; ageMilliseconds: number },
    sender: Address,
  ): void {
    if (this.#keeper.recordPeerFreshness(news)) return;
    const now = this.#clock();
    if (now - this.#readingAskedAt < READING_REQUEST_MILLISECONDS) return;
    this.#readingAskedAt = now;
    const { port } = splitAddress(this.#options.instance.meshAddress);
    const { host } = splitAddress(sender);
    this.#links.send(`${host}:${port}`, { kind: "reading-request" });
  }

  #onFrame(frame: FleetFrame, reply: FrameReply): void {
    switch (frame.kind) {
      case "changes":
        if (!this.#keeper.applyPeerUpdate(frame, frame.ageMilliseconds)) {
          reply({ kind: "reading-request" });
        }
        return;
      case "reading-request": {
        const { ageMilliseconds } = this.#keeper.freshness;
        const reading = this.#keeper.state.listing();
        reply({ kind: "reading", reading, ageMilliseconds });
        return;
      }
      case "reading":
        this.#keeper.applyPeerListing(frame.reading, frame.ageMilliseconds);
        return;
    }
  }

  #refusePeer(peer: string, detail: string): void {
    this.#writeEvent({ event: "peer-message-refused", peer, detail });
  }

  #housekeep(): void {
    this.#keeper.dropExpired();
    if (!this.#pauses.recordTick() && !this.#hasTimeOfDayJumped()) return;
    this.#writeEvent({
      event: "pause-noticed",
      milliseconds: PAUSE_MILLISECONDS,
    });
    this.#keeper.markStale();
  }

  /** The steady clock stands still while the instance is suspended. */
  #hasTimeOfDayJumped(): boolean {
    const offset = Date.now() - performance.now();
    const jump = Math.abs(offset - this.#timeOfDayOffset);
    this.#timeOfDayOffset = offset;
    return jump > PAUSE_MILLISECONDS;
  }

  #writeTraffic(): void {
    this.#writeEvent({
      event: "traffic",
      answered: this.#metrics.outcomeCount("answered"),
      late: this.#metrics.outcomeCount("late"),
      refused: this.#metrics.outcomeCount("refused"),
      failed: this.#metrics.outcomeCount("failed"),
    });
  }

  #metricsText(): string {
    return this.#metrics.text({
      requests_in_progress: this.#callServer.inProgress,
      servers: this.#servers.size,
      peers: this.#fleet.members.livePeers().length,
      configuration_version: this.#router.snapshot?.version ?? 0,
      discovery_revision: this.#keeper.state.revision,
      discovery_news_age_milliseconds: this.#keeper.freshness.ageMilliseconds,
    });
  }
}
