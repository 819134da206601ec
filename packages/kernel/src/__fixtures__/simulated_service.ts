/**
 * Simulates the load on one service with the real placement and request queue,
 * on a virtual clock with ticks of one millisecond.
 *
 * Several entries share the servers. As in a running fleet, each entry knows
 * its own requests exactly, probes a server whose last report is old, and
 * receives the in-flight counts of its peers at intervals. Servers slow down
 * above the knee, and some are in a slow phase at any time.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FRESH_REPORT_MILLISECONDS, needsLoadProbe } from "../load_probe.ts";
import {
  place,
  type PlacementContext,
  type PlacementRequest,
  type PlacementResult,
  type StaleEstimate,
} from "../placement.ts";
import { RateBudget } from "../rate_budget.ts";
import { ServerLoad } from "../server_load.ts";
import { makeRegistration } from "./registration.ts";
import { type QueuedRequest, RequestQueue } from "../request_queue.ts";

export type SimulatedLoad = {
  readonly servers: number;
  readonly slots: number;
  readonly entries: number;
  /** Load probes that an entry may send per second. */
  readonly maximumProbesPerSecond: number;
  /** Requests per second at a given time, over all entries. */
  readonly requestsPerSecond: (at: number) => number;
  readonly seconds: number;
  readonly serviceTimeMilliseconds: number;
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Share of the servers that are in a slow phase. */
  readonly slowServerShare: number;
  readonly slowdown: number;
  /** Mean duration of a phase. */
  readonly meanPhaseMilliseconds: number;
  /** Whether a request keeps the speed at which the server started it. */
  readonly isSpeedKept?: boolean;
  /** Whether entries send each other their in-flight counts. */
  readonly areCountsExchanged?: boolean;
  /** Servers that are slower by a factor and do not report it. */
  readonly stragglers?: { readonly count: number; readonly factor: number };
};

export type PlacementPolicy = {
  /** Maximum expected completion time of a first attempt. */
  readonly maximumExpectedMilliseconds: (
    remainingMilliseconds: number,
  ) => number;
  /**
   * Whether a request that has waited for its maximum time is sent to any
   * server with capacity, by the number of requests in the queue.
   */
  readonly mayPlaceLate: (queueLength: number) => boolean;
};

export type SimulationResult = {
  readonly total: number;
  /** Shares of all requests. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
};

const KNEE_OCCUPANCY = 0.8;
const KNEE_SLOWDOWN = 1.7;
/** Intervals at which entries receive the counts of peers. */
const SAME_DOMAIN_INTERVAL_MILLISECONDS = 40;
const CROSS_DOMAIN_INTERVAL_MILLISECONDS = 200;
const FAILURE_DOMAINS = 4;
const QUEUE_INTERVAL_MILLISECONDS = 8;

type Job = {
  remainingMilliseconds: number;
  /** Slowdown of the server when it started the request. */
  slowdownAtStart: number;
  readonly arrivedAt: number;
  readonly entry: SimulatedEntry;
  readonly attempt: object;
};

class SimulatedServer {
  readonly running: Job[] = [];
  readonly waiting: Job[] = [];
  slowdown = 1;

  constructor(
    readonly slots: number,
    readonly stragglerFactor: number,
    readonly isSpeedKept: boolean,
  ) {}

  /** Processes requests for a millisecond; returns those that have ended. */
  process(): Job[] {
    while (this.running.length < this.slots && this.waiting.length > 0) {
      const [job] = this.waiting.splice(0, 1);
      this.running.push(job);
      job.slowdownAtStart = this.#slowdownOfRunning();
    }
    const ended: Job[] = [];
    const slowdownNow = this.#slowdownOfRunning();
    for (const job of [...this.running]) {
      const slowdown = this.isSpeedKept ? job.slowdownAtStart : slowdownNow;
      job.remainingMilliseconds -= 1 / (slowdown * this.stragglerFactor);
      if (job.remainingMilliseconds > 0) continue;
      this.running.splice(this.running.indexOf(job), 1);
      ended.push(job);
    }
    return ended;
  }

  #slowdownOfRunning(): number {
    return this.running.length > KNEE_OCCUPANCY * this.slots
      ? this.slowdown * KNEE_SLOWDOWN
      : this.slowdown;
  }
}

class SimulatedEntry {
  readonly queue = new RequestQueue();
  readonly loads: ServerLoad[];
  readonly #budget: RateBudget;

  constructor(
    readonly id: string,
    readonly service: SimulatedService,
  ) {
    this.#budget = new RateBudget(
      () => service.now,
      () => service.load.maximumProbesPerSecond,
    );
    this.loads = service.servers.map((server, index) =>
      new ServerLoad(
        makeRegistration({
          id: String(index),
          failureDomain: "one",
          slots: server.slots,
        }),
        0,
      )
    );
  }

  addRequest(): void {
    const { now, load } = this.service;
    const request: QueuedRequest = {
      priority: 1,
      serviceTimeMilliseconds: load.serviceTimeMilliseconds,
      arrivedAtMilliseconds: now,
      objectiveAtMilliseconds: now + load.objectiveMilliseconds,
      deadlineAtMilliseconds: now + load.deadlineMilliseconds,
      isCallerRetry: false,
      onDequeued: (decision) => {
        if (decision === "try") this.#trySend(request);
        else this.#endWait(request);
      },
    };
    if (this.queue.countAhead(request, now) > 0) {
      this.queue.add(request);
    } else this.#trySend(request);
  }

  serveQueue(): void {
    const { now } = this.service;
    for (const late of this.queue.shedLate(now)) late.onDequeued("give-up");
    this.queue.takeNext(now)?.onDequeued("try");
  }

  #trySend(request: QueuedRequest): void {
    const { now, policy } = this.service;
    const maximumMilliseconds = policy.maximumExpectedMilliseconds(
      request.objectiveAtMilliseconds - now,
    );
    const result = this.#probeAndPlace(maximumMilliseconds);
    if (result.kind === "placed") this.#send(request, result);
    else this.queue.add(request);
  }

  #endWait(request: QueuedRequest): void {
    const { now, policy, outcome } = this.service;
    const result = policy.mayPlaceLate(this.queue.length)
      ? this.#place("mean", request.deadlineAtMilliseconds - now)
      : undefined;
    if (result?.kind === "placed") this.#send(request, result);
    else outcome.refused += 1;
  }

  /** Probes the selected servers for their load, as the gateway does. */
  #probeAndPlace(maximumMilliseconds: number): PlacementResult {
    const { now } = this.service;
    for (let probesSent = 0;; probesSent++) {
      const optimistic = this.#place("optimistic", maximumMilliseconds);
      if (optimistic.kind !== "placed") break;
      const { server } = optimistic.placement;
      const reportAgeMilliseconds = server.reportAgeMilliseconds(now);
      if (reportAgeMilliseconds <= FRESH_REPORT_MILLISECONDS) return optimistic;
      const isProbeNeeded = needsLoadProbe({
        reportAgeMilliseconds,
        mayReport: server.mayReport,
        probesSent,
        remainingMilliseconds: Infinity,
      });
      if (!isProbeNeeded) break;
      if (!this.#budget.trySpend()) break;
      this.recordReport(Number(server.registration.id));
    }
    return this.#place("mean", maximumMilliseconds);
  }

  #place(
    staleEstimate: StaleEstimate,
    maximumExpectedMilliseconds: number,
  ): PlacementResult {
    const { now, random, load } = this.service;
    const request: PlacementRequest = {
      serviceTimeMilliseconds: load.serviceTimeMilliseconds,
      objectiveMilliseconds: load.objectiveMilliseconds,
      answerBytes: 0,
      tried: new Set(),
      maximumCrossDomainCostObjectives: Infinity,
      maximumExpectedMilliseconds,
    };
    const context: PlacementContext = {
      now,
      random,
      ownFailureDomain: "one",
      crossDomainCost: { roundTripMilliseconds: 0, objectivesPerMegabyte: 0 },
      connectionCost: {
        connectionsToOpen: () => 0,
        objectivesPerConnection: 0,
      },
      staleEstimate,
    };
    return place(this.loads, request, context);
  }

  #send(
    request: QueuedRequest,
    { placement }: Extract<PlacementResult, { kind: "placed" }>,
  ): void {
    const { load, random, servers } = this.service;
    const attempt = {};
    placement.server.recordStart(attempt);
    const spread = 0.5 + random();
    servers[Number(placement.server.registration.id)].waiting.push({
      remainingMilliseconds: load.serviceTimeMilliseconds * spread,
      slowdownAtStart: 1,
      arrivedAt: request.arrivedAtMilliseconds,
      entry: this,
      attempt,
    });
  }

  /** Records the load that a server reports. */
  recordReport(index: number): void {
    const { servers, now } = this.service;
    const { running, waiting, slots, slowdown } = servers[index];
    this.loads[index].recordReport({
      running: running.length,
      waiting: waiting.length,
      slots,
      slowdown,
    }, now);
  }

  end(job: Job, index: number): void {
    this.recordReport(index);
    this.loads[index].recordEnd(job.attempt, "answered", this.service.now);
    this.serveQueue();
  }

  receiveCounts(peer: SimulatedEntry): void {
    for (const [index, load] of this.loads.entries()) {
      const count = peer.loads[index].ownInFlight;
      load.recordPeerInFlight(peer.id, count, this.service.now);
    }
  }
}

class SimulatedService {
  now = 0;
  readonly random: () => number;
  readonly servers: readonly SimulatedServer[];
  readonly entries: readonly SimulatedEntry[];
  readonly outcome = { total: 0, inTime: 0, late: 0, refused: 0 };

  constructor(
    readonly load: SimulatedLoad,
    readonly policy: PlacementPolicy,
    seed: number,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const { count = 0, factor = 1 } = load.stragglers ?? {};
    this.servers = Array.from(
      { length: load.servers },
      (_, index) =>
        new SimulatedServer(
          load.slots,
          index < count ? factor : 1,
          load.isSpeedKept ?? false,
        ),
    );
    this.entries = Array.from(
      { length: load.entries },
      (_, index) => new SimulatedEntry(`entry-${index}`, this),
    );
  }

  run(): SimulationResult {
    for (; this.now < this.load.seconds * 1_000; this.now++) this.#tick();
    const { total, inTime, late, refused } = this.outcome;
    return {
      total,
      inTime: inTime / total,
      late: late / total,
      refused: refused / total,
    };
  }

  #tick(): void {
    const {
      meanPhaseMilliseconds,
      slowServerShare,
      slowdown,
      requestsPerSecond,
    } = this.load;
    for (const server of this.servers) {
      if (this.random() >= 1 / meanPhaseMilliseconds) continue;
      server.slowdown = this.random() < slowServerShare ? slowdown : 1;
    }
    for (const [index, server] of this.servers.entries()) {
      for (const job of server.process()) this.#end(job, index);
    }
    if (this.now % SAME_DOMAIN_INTERVAL_MILLISECONDS === 0) this.#gossip();
    if (this.now % QUEUE_INTERVAL_MILLISECONDS === 0) {
      for (const entry of this.entries) entry.serveQueue();
    }
    let due = requestsPerSecond(this.now) / 1_000;
    for (; this.random() < due; due -= 1) {
      this.outcome.total += 1;
      const index = Math.floor(this.random() * this.entries.length);
      this.entries[index].addRequest();
    }
  }

  #end(job: Job, index: number): void {
    const elapsed = this.now - job.arrivedAt;
    const { objectiveMilliseconds, deadlineMilliseconds } = this.load;
    if (elapsed <= objectiveMilliseconds) this.outcome.inTime += 1;
    else if (elapsed <= deadlineMilliseconds) this.outcome.late += 1;
    else this.outcome.refused += 1;
    job.entry.end(job, index);
  }

  #gossip(): void {
    if (!(this.load.areCountsExchanged ?? true)) return;
    const isCrossDomainTick =
      this.now % CROSS_DOMAIN_INTERVAL_MILLISECONDS === 0;
    for (const [index, entry] of this.entries.entries()) {
      for (const [other, peer] of this.entries.entries()) {
        if (peer === entry) continue;
        const isSameDomain =
          index % FAILURE_DOMAINS === other % FAILURE_DOMAINS;
        if (isSameDomain || isCrossDomainTick) entry.receiveCounts(peer);
      }
    }
  }
}

/** Simulates a load; the same seed gives the same requests and phases. */
export function simulateService(
  load: SimulatedLoad,
  policy: PlacementPolicy,
  seed: number,
): SimulationResult {
  return new SimulatedService(load, policy, seed).run();
}
