/**
 * Assembles a gateway entry from its components and manages their life cycle.
 */
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import { entriesForCaller } from "@marigoldford/kernel/entries_for_caller";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import { isAcceptedWhileLeaving } from "@marigoldford/kernel/leaving_admission";
import { PauseDetector } from "@marigoldford/kernel/pause_detector";
import { RateBudget } from "@marigoldford/kernel/rate_budget";
import { IdleLimit } from "@marigoldford/kernel/idle_limit";
import { ServerReach } from "@marigoldford/kernel/server_reach";
import { SnapshotRouter } from "@marigoldford/kernel/snapshot_router";
import type { Address } from "@marigoldford/kernel/types";
import { EventLog } from "@marigoldford/logger/event_log";
import { CALLER_PROTOCOLS, type CallerProtocol } from "./caller_protocol.ts";
import { ConnectionGuard } from "./callers/connection_guard.ts";
import { CrashDetector } from "./crash_detector.ts";
import { DatagramSocket } from "./datagram_socket.ts";
import { logChange } from "./discovery_change_log.ts";
import { DiscoveryExchange } from "./discovery_exchange.ts";
import { DiscoverySynchronizer } from "./discovery_synchronizer.ts";
import type { DiscoverySource } from "./discovery_source.ts";
import { makeEventWriter, type WriteEvent } from "./events.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { FleetMembership } from "./fleet_membership.ts";
import type { FleetDatagram } from "./fleet_messages.ts";
import { FrameConnections } from "./frame_connections.ts";
import { CallServer } from "./call_server.ts";
import { LoadExchange } from "./load_exchange.ts";
import { MessageClock } from "./message_clock.ts";
import { GatewayMetrics } from "./metrics.ts";
import type { GatewayOptions } from "./options.ts";
import {
  AUXILIARY_SERVERS,
  type AuxiliaryServer,
  DISCOVERY_SOURCES,
} from "./plug_ins.ts";
import { PeerForwarder } from "./peer_forwarder.ts";
import { Placer } from "./placer.ts";
import { Prober } from "./prober.ts";
import { makeRouteExplainer } from "./route_explanation.ts";
import { seedDatagramAddresses } from "./seed_addresses.ts";
import { ServerConnections } from "./server_connections.ts";
import { ServerInquiry } from "./server_inquiry.ts";
import { ServerStatements } from "./server_statements.ts";
import { ServerTable } from "./server_table.ts";
import { ServiceStates } from "./service_states.ts";
import { SlotExchange } from "./slot_exchange.ts";
import { stateValidityMilliseconds } from "./state_validity.ts";
import { TrafficMeter } from "./traffic_meter.ts";
import { TUNING } from "./tuning.ts";
import { WallClock } from "./wall_clock.ts";
import "./metrics_server.ts";

export class GatewayStartFailure
  extends Data.TaggedError("GatewayStartFailure")<{
    readonly message: string;
  }> {}

export type GatewayHandle = {
  /** Shuts down gracefully; resolves when the process may exit. */
  readonly leave: () => Promise<void>;
  readonly logReload: (outcome: string) => void;
  readonly logFault: (error: Error) => void;
};

const HOUSEKEEPING_INTERVAL_MILLISECONDS = 100;
const PAUSE_THRESHOLD_MILLISECONDS = 600;
/** Also the interval at which statements of servers that are gone expire. */
const TRAFFIC_LOG_INTERVAL_MILLISECONDS = 5_000;
const MILLISECONDS_IN_SECOND = 1_000;
/** Time from the exit of the process to the end of the grace period. */
const EXIT_MARGIN_MILLISECONDS = 500;
/**
 * Callers are assumed to have moved away from a leaving entry after this long
 * without a request.
 */
const MINIMUM_IDLE_MILLISECONDS = 500;
/** A leaving entry serves this long at least, as callers cache its address. */
const MINIMUM_LEAVE_MILLISECONDS = 3_000;
const LEAVE_CHECK_INTERVAL_MILLISECONDS = 25;

/** Mesh addresses of the seeds, which may change while the entry runs. */
export type SeedReader = () => readonly Address[];

/** Starts a gateway; closing the scope stops it immediately. */
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
      logFault: (error: Error) =>
        writeEvent({
          event: "uncaught-exception",
          detail: error.stack ?? String(error),
        }),
    };
  });
}

type GatewayDependencies = {
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
  readonly #traffic: TrafficMeter;
  readonly #router = new SnapshotRouter(Math.random);
  readonly #services: ServiceStates;
  readonly #messageClock: MessageClock;
  readonly #statements: ServerStatements;
  readonly #servers: ServerTable;
  readonly #datagramSocket: DatagramSocket;
  readonly #frameConnections: FrameConnections;
  readonly #discovery: DiscoverySynchronizer;
  readonly #exchange: DiscoveryExchange;
  readonly #fleet: FleetMembership;
  readonly #loadExchange: LoadExchange;
  readonly #slotExchange: SlotExchange;
  readonly #prober: Prober;
  readonly #placer: Placer;
  readonly #reach: ServerReach;
  readonly #forwarder: PeerForwarder;
  readonly #guard: ConnectionGuard;
  readonly #callServer: CallServer;
  /** Serves requests that peers pass on. */
  readonly #forwardServer: CallServer;
  readonly #inquiry: ServerInquiry;
  readonly #crashDetector: CrashDetector;
  readonly #pauseDetector: PauseDetector;
  readonly #wallClock = new WallClock();
  readonly #auxiliaryServers: AuxiliaryServer[];
  readonly #timers: ReturnType<typeof setInterval>[] = [];
  readonly #startedAt = performance.now();
  #leaveRequestedAt = Infinity;
  #housekeptAt = performance.now();
  #eventLoopDelay = 0;

  constructor(options: GatewayOptions, dependencies: GatewayDependencies) {
    this.#options = options;
    this.#writeEvent = dependencies.writeEvent;
    this.#readSeeds = dependencies.readSeeds;
    const clock = this.#clock;
    const { instance } = options;
    this.#traffic = new TrafficMeter({
      clock,
      failureDomain: instance.failureDomain,
      peers: () => this.#fleet.members.livePeers(),
      metrics: this.#metrics,
    });
    this.#servers = new ServerTable({
      clock,
      ...TUNING.connections,
      takeConnection: (registration) =>
        this.#prober.takeConnection(registration),
      restrictionsOf: (registration) =>
        this.#statements.restrictionsOf(registration),
      onTransferred: this.#traffic.recordTransferred,
    });
    this.#pauseDetector = new PauseDetector(
      clock,
      PAUSE_THRESHOLD_MILLISECONDS,
    );
    this.#datagramSocket = new DatagramSocket({
      address: instance.datagramAddress,
      onDatagram: (datagram, sender) => this.#onDatagram(datagram, sender),
      onUnreadable: (peer, { detail }) => this.#logRefusedMessage(peer, detail),
      onSendFailure: () => this.#metrics.incrementCounter("datagrams_unsent"),
      onSent: this.#traffic.recordSent,
    });
    this.#frameConnections = new FrameConnections({
      listenAddress: instance.meshAddress,
      idleMilliseconds: TUNING.meshIdleTimeoutMilliseconds,
      onFrame: (frame, reply) => this.#exchange.receiveFrame(frame, reply),
      onSent: this.#traffic.recordSent,
      onRefused: (peer, detail) => this.#logRefusedMessage(peer, detail),
    });
    this.#fleet = this.#makeFleet();
    this.#messageClock = new MessageClock(this.#incarnation, clock);
    this.#statements = new ServerStatements({
      messageClock: this.#messageClock,
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      clock,
      random: Math.random,
      leavingEffectMilliseconds: options.bounds.leavingEffectSeconds *
        MILLISECONDS_IN_SECOND,
      protocol: dependencies.protocol,
      socket: this.#datagramSocket,
      peers: () => this.#fleet.members.livePeers(),
      members: () => this.#nonLeavingMembers(),
      metrics: this.#metrics,
      writeEvent: this.#writeEvent,
    });
    this.#discovery = new DiscoverySynchronizer({
      source: dependencies.source,
      clock,
      random: Math.random,
      settings: {
        ...TUNING.discovery,
        validityMilliseconds: stateValidityMilliseconds(options),
      },
      self: this.#incarnation,
      eligibleWatchers: () =>
        this.#nonLeavingMembers().map(({ incarnation }) => incarnation),
      onChange: (changes) => this.#onDiscoveryChange(changes),
      onUpdate: (update) => this.#exchange.sendUpdate(update),
      writeEvent: this.#writeEvent,
      onServiceCall: (outcome) =>
        this.#metrics.incrementCounter(
          `discovery_calls_${outcome.replaceAll("-", "_")}`,
        ),
    });
    this.#exchange = new DiscoveryExchange({
      messageClock: this.#messageClock,
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      meshAddress: instance.meshAddress,
      clock,
      discovery: this.#discovery,
      peers: () => this.#fleet.members.livePeers(),
      datagramSocket: this.#datagramSocket,
      frameConnections: this.#frameConnections,
      writeEvent: this.#writeEvent,
    });
    this.#loadExchange = new LoadExchange({
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      clock,
      settings: TUNING.load,
      socket: this.#datagramSocket,
      servers: this.#servers,
      peers: () => this.#fleet.members.livePeers(),
    });
    this.#reach = new ServerReach(clock);
    this.#prober = new Prober({
      reach: this.#reach,
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      clock,
      settings: TUNING.probe,
      budget: new RateBudget(
        clock,
        () => this.#ownProbesPerSecond(),
        TUNING.savedProbeSeconds,
      ),
      protocol: dependencies.protocol,
      servers: this.#servers,
      members: () => this.#nonLeavingMembers(),
      areReportsExchanged: () => this.#loadExchange.isActive,
      healthPathOf: (service) => this.#router.service(service)?.healthPath,
      onReport: (server) => this.#loadExchange.queueReport(server),
      onHealthCheck: (server, head) =>
        this.#statements.recordHealthCheck(server, head),
      onProbe: () => this.#metrics.incrementCounter("probes"),
      onTransferred: this.#traffic.recordTransferred,
    });
    this.#placer = new Placer({
      clock,
      random: Math.random,
      failureDomain: instance.failureDomain,
      costs: TUNING.costs,
      servers: this.#servers,
      prober: this.#prober,
      areReportsExchanged: () => this.#loadExchange.isActive,
      warmUpRateOf: (service) =>
        this.#router.service(service)?.warmUpRequestsPerSecond ?? 0,
    });
    this.#forwarder = new PeerForwarder({
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      forwardAddress: instance.forwardAddress,
      clock,
      random: Math.random,
      reach: this.#reach,
      servers: this.#servers,
      prober: this.#prober,
      peers: () => this.#fleet.members.livePeers(),
      socket: this.#datagramSocket,
      makeConnections: () =>
        new ServerConnections({
          clock,
          ...TUNING.connections,
          idleLimit: new IdleLimit({
            clock,
            maximumMilliseconds: TUNING.connections.idleMilliseconds,
          }),
          takeConnection: () => undefined,
        }),
      writeEvent: this.#writeEvent,
    });
    this.#services = new ServiceStates({
      clock,
      bounds: options.bounds,
      memberCount: () => this.#fleet.members.budgetDivisor(),
      onWaiting: (service) => this.#slotExchange.recordWaiting(service),
    });
    this.#slotExchange = new SlotExchange({
      clock,
      self: { ...instance, incarnation: this.#incarnation },
      socket: this.#datagramSocket,
      servers: this.#servers,
      services: this.#services,
      members: () => this.#nonLeavingMembers(),
      isActive: () => !this.#loadExchange.isActive,
      metrics: this.#metrics,
    });
    this.#inquiry = new ServerInquiry({
      self: this.#incarnation,
      failureDomain: instance.failureDomain,
      clock,
      random: Math.random,
      servers: this.#servers,
      prober: this.#prober,
      peers: () => this.#fleet.members.livePeers(),
      socket: this.#datagramSocket,
      unreached: () => this.#forwarder.cutServices,
      writeEvent: this.#writeEvent,
    });
    this.#crashDetector = new CrashDetector({
      self: this.#incarnation,
      clock,
      settings: TUNING.crashes,
      socket: this.#datagramSocket,
      isDown: (server, sign) => this.#inquiry.isDown(server, sign),
      findServer: (address) => this.#servers.findByAddress(address),
      peers: () => this.#fleet.members.livePeers(),
      writeEvent: this.#writeEvent,
    });
    this.#guard = new ConnectionGuard({
      limits: options.limits,
      metrics: this.#metrics,
      writeEvent: this.#writeEvent,
    });
    const context = this.#exchangeContext(dependencies.protocol);
    this.#callServer = new CallServer(context);
    this.#forwardServer = new CallServer({ ...context, origin: "peer" });
    this.#auxiliaryServers = this.#makeAuxiliaryServers(context);
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
      this.#datagramSocket.open(),
      this.#frameConnections.open(),
      this.#callServer.open(instance.callAddress),
      this.#forwardServer.open(instance.forwardAddress),
      ...this.#auxiliaryServers.map((server) => server.open()),
    ]);
    this.#fleet.start();
    this.#discovery.start();
    this.#loadExchange.start();
    this.#prober.start();
    this.#forwarder.start();
    this.#runEvery(HOUSEKEEPING_INTERVAL_MILLISECONDS, () => this.#housekeep());
    this.#runEvery(TRAFFIC_LOG_INTERVAL_MILLISECONDS, () => {
      this.#logTraffic();
      this.#statements.expire(this.#servers.restrictions());
      this.#messageClock.expire();
    });
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#discovery.stop();
    this.#loadExchange.stop();
    this.#slotExchange.stop();
    this.#statements.stop();
    this.#prober.stop();
    this.#forwarder.stop();
    this.#fleet.stop();
    for (const server of this.#auxiliaryServers) server.close();
    this.#callServer.closeAll();
    this.#forwardServer.closeAll();
    this.#frameConnections.close();
    this.#datagramSocket.close();
    this.#servers.close();
  }

  /** Serves until callers have moved away, then stops listening and drains. */
  async leave(): Promise<void> {
    if (Number.isFinite(this.#leaveRequestedAt)) return;
    this.#leaveRequestedAt = this.#clock();
    this.#writeEvent({
      event: "stop-requested",
      inProgress: this.#inProgress,
    });
    this.#fleet.enterState("leaving");
    while (this.#clock() < this.#exitAt && !this.#hasNoCallers()) {
      await sleep(LEAVE_CHECK_INTERVAL_MILLISECONDS);
    }
    const cut = await Promise.all([
      this.#callServer.drain(this.#exitAt),
      this.#forwardServer.drain(this.#exitAt),
    ]);
    const requestsCut = cut[0] + cut[1];
    this.#fleet.enterState("stopped");
    this.#writeEvent({ event: "stop", requestsCut, reason: "asked to stop" });
    await sleep(LEAVE_CHECK_INTERVAL_MILLISECONDS);
  }

  /** When a leaving entry exits at the latest. */
  get #exitAt(): number {
    const { graceSeconds } = this.#options.bounds;
    return this.#leaveRequestedAt + graceSeconds * MILLISECONDS_IN_SECOND -
      EXIT_MARGIN_MILLISECONDS;
  }

  get #millisecondsSinceLeaveRequest(): number {
    return this.#clock() - this.#leaveRequestedAt;
  }

  #hasNoCallers(): boolean {
    return this.#millisecondsSinceLeaveRequest > MINIMUM_LEAVE_MILLISECONDS &&
      this.#inProgress === 0 &&
      this.#callServer.idleMilliseconds > MINIMUM_IDLE_MILLISECONDS;
  }

  get #inProgress(): number {
    return this.#callServer.inProgress + this.#forwardServer.inProgress;
  }

  #runEvery(milliseconds: number, action: () => void): void {
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
      seeds: () =>
        seedDatagramAddresses(this.#readSeeds(), instance.datagramAddress),
      socket: this.#datagramSocket,
      discoveryFreshness: () => this.#exchange.freshness(),
      evacuations: () => this.#discovery.state.toldEvacuations(this.#clock()),
      writeEvent: this.#writeEvent,
    });
  }

  /**
   * Live entries that are not leaving; only these probe servers and watch the
   * discovery service.
   */
  #nonLeavingMembers(): MemberRecord[] {
    return this.#fleet.members.liveMembers().filter(({ state }) =>
      state !== "leaving"
    );
  }

  #makeAuxiliaryServers(context: ExchangeContext): AuxiliaryServer[] {
    const view = {
      isReady: () => this.#fleet.state === "serving",
      entryAddressesFor: (failureDomain: string | undefined): Address[] =>
        entriesForCaller(this.#fleet.members.liveMembers(), failureDomain),
      metricsText: () => this.#metricsText(),
      explainRoute: makeRouteExplainer(context, this.#discovery, this.#options),
      guard: this.#guard,
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
      statements: this.#statements,
      placer: this.#placer,
      metrics: this.#metrics,
      writeEvent: this.#writeEvent,
      services: this.#services,
      isReady: () => this.#fleet.state !== "starting",
      discovery: this.#discovery,
      isAccepting: (request) =>
        !Number.isFinite(this.#leaveRequestedAt) ||
        isAcceptedWhileLeaving({
          ...request,
          leavingMilliseconds: this.#millisecondsSinceLeaveRequest,
          untilExitMilliseconds: this.#exitAt - this.#clock(),
        }),
      mayKeepConnections: () => !Number.isFinite(this.#leaveRequestedAt),
      crashDetector: this.#crashDetector,
      reach: this.#reach,
      forwarder: this.#forwarder,
      origin: "caller",
      guard: this.#guard,
      onInFlightChange: () => this.#loadExchange.scheduleInFlightUpdate(),
      onReport: (server) => this.#loadExchange.queueReport(server),
      offerSlot: (server) => this.#slotExchange.offer(server),
    };
  }

  /** This entry's share of the fleet's probe budget. */
  #ownProbesPerSecond(): number {
    const { probesPerSecond } = this.#options.bounds;
    return TUNING.probeBudgetShare * probesPerSecond * this.#servers.size /
      this.#fleet.members.budgetDivisor();
  }

  #onDiscoveryChange(changes: readonly DiscoveryChange[]): void {
    this.#servers.sync(this.#discovery.state);
    this.#prober.reassign();
    const from = this.#discovery.isWatching ? "service" : "peer";
    for (const change of changes) logChange(change, from, this.#writeEvent);
    const { snapshot } = this.#discovery.state;
    if (snapshot !== undefined && this.#router.adopt(snapshot)) {
      this.#callServer.setLimits(snapshot.limits);
      this.#forwardServer.setLimits(snapshot.limits);
      this.#writeEvent({
        event: "configuration-adopted",
        version: snapshot.version,
        from,
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

  #onDatagram(datagram: FleetDatagram, sender: Address): void {
    if (datagram.from === this.#incarnation) return;
    switch (datagram.kind) {
      case "members":
        this.#fleet.receive(datagram, sender);
        this.#discovery.applyPeerEvacuations(datagram.evacuations);
        this.#exchange.receiveFreshness(datagram.news, sender);
        return;
      case "who":
        this.#fleet.sendRecords(datagram, sender);
        return;
      case "news":
        this.#exchange.receiveFreshnessDatagram(datagram, sender);
        return;
      case "load":
        this.#loadExchange.receive(datagram);
        return;
      case "statements":
        this.#statements.receive(datagram);
        return;
      case "reach":
        this.#forwarder.receive(datagram);
        this.#inquiry.receive(datagram, sender);
        return;
      case "slots":
        this.#slotExchange.receive(datagram, sender);
        return;
      case "crash":
        this.#crashDetector.recordPeerCrash(datagram);
        return;
    }
  }

  #logRefusedMessage(peer: string, detail: string): void {
    this.#writeEvent({ event: "peer-message-refused", peer, detail });
  }

  /** The longest delay of a housekeeping timer since the last call. */
  #takeEventLoopDelay(): number {
    const delay = Math.round(this.#eventLoopDelay);
    this.#eventLoopDelay = 0;
    return delay;
  }

  #housekeep(): void {
    const now = this.#clock();
    const delay = now - this.#housekeptAt - HOUSEKEEPING_INTERVAL_MILLISECONDS;
    this.#eventLoopDelay = Math.max(this.#eventLoopDelay, delay);
    this.#housekeptAt = now;
    this.#discovery.settleProvisional();
    this.#servers.closeExpiredConnections();
    const hasJumped = this.#wallClock.takeJump() > PAUSE_THRESHOLD_MILLISECONDS;
    if (!this.#pauseDetector.recordTick() && !hasJumped) return;
    this.#writeEvent({
      event: "pause-noticed",
      milliseconds: PAUSE_THRESHOLD_MILLISECONDS,
    });
    this.#discovery.markStale();
    this.#messageClock.renew();
  }

  #logTraffic(): void {
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
      requests_in_progress: this.#inProgress,
      slot_waiters: this.#slotExchange.waitingCount,
      unreached_services: this.#forwarder.cutServices.length,
      ...this.#servers.gauges,
      evacuated_domains: this.#discovery.state.evacuatedDomains,
      request_memory_bytes: Math.round(this.#guard.heldBytes),
      peers: this.#fleet.members.livePeers().length,
      configuration_version: this.#router.snapshot?.version ?? 0,
      discovery_era: this.#discovery.state.era,
      discovery_revision: this.#discovery.state.revision,
      discovery_news_age_milliseconds:
        this.#discovery.freshness.ageMilliseconds,
      requests_waiting_for_discovery: this.#discovery.waitingCount,
      event_loop_delay_milliseconds: this.#takeEventLoopDelay(),
    });
  }
}
