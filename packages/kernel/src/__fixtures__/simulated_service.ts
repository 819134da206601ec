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
import { FleetRetryBudget } from "../fleet_budget.ts";
import { needsLoadProbe } from "../load_probe.ts";
import {
  type ConcurrencyLimit,
  limitOfHighestThroughput,
  place,
  type PlacementContext,
  type PlacementRequest,
  type PlacementResult,
  type StaleEstimate,
} from "../placement.ts";
import { RateBudget } from "../rate_budget.ts";
import { reportedOccupancy } from "../reported_occupancy.ts";
import { RouteEstimates } from "../route_estimates.ts";
import { ServerLoad, type ServerReport } from "../server_load.ts";
import { makeRegistration } from "./registration.ts";
import { type QueuedRequest, RequestQueue } from "../request_queue.ts";
import { SlotWaiters, waitingRequestOf } from "../slot_waiters.ts";

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
  /** Whether entries pass on slots that become free. */
  readonly areSlotsPassed?: boolean;
  /** Servers that are slower by a factor and do not report it. */
  readonly stragglers?: { readonly count: number; readonly factor: number };
  /** Requests that a server queues; it refuses further ones. */
  readonly serverQueueLength?: number;
  /** Share of the requests that an entry may send to a second server. */
  readonly retryShare?: number;
  readonly callerRetries?: CallerRetries;
};

/** What callers do after a refusal. */
export type CallerRetries = {
  readonly maximum: number;
  readonly delayMilliseconds: number;
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
  /** Maximum number of requests at a server at the same time. */
  readonly concurrencyLimit: ConcurrencyLimit;
};

export type SimulationResult = {
  readonly total: number;
  /** Shares of all requests. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Share in time of the requests that arrived in each second. */
  readonly inTimeBySecond: readonly number[];
};

const KNEE_OCCUPANCY = 0.8;
const KNEE_SLOWDOWN = 1.7;
/** Intervals at which entries receive the counts of peers. */
const SAME_DOMAIN_INTERVAL_MILLISECONDS = 40;
const CROSS_DOMAIN_INTERVAL_MILLISECONDS = 200;
const FAILURE_DOMAINS = 4;
/** Intervals at which entries dispatch their queues. */
const MINIMUM_QUEUE_INTERVAL_MILLISECONDS = 8;
const QUEUE_INTERVAL_SERVICE_TIMES = 0.05;
const RETRY_WINDOW_MILLISECONDS = 10_000;
/** From the end of a request to its report at the entry that gets the slot. */
const SLOT_DELAY_MILLISECONDS = 4;
const MAXIMUM_PROBES = 6;
const MILLISECONDS_IN_SECOND = 1_000;

type Job = {
  remainingMilliseconds: number;
  /** Slowdown of the server when it started the request. */
  slowdownAtStart: number;
  readonly request: Request;
  readonly entry: SimulatedEntry;
  readonly attempt: object;
};

/** A caller's request over all its tries. */
type Call = {
  readonly firstArrivedAt: number;
  readonly triesLeft: number;
};

type OfferedSlot = {
  readonly at: number;
  readonly index: number;
  readonly report: ServerReport;
};

type PlacedResult = Extract<PlacementResult, { kind: "placed" }>;

type Request = {
  readonly queuedRequest: QueuedRequest;
  readonly call: Call;
  /** Servers that have refused the request. */
  readonly tried: Set<string>;
};

class SimulatedServer {
  readonly running: Job[] = [];
  readonly waiting: Job[] = [];
  slowdown = 1;

  constructor(
    readonly slots: number,
    readonly stragglerFactor: number,
    readonly isSpeedKept: boolean,
    readonly queueLength: number,
  ) {}

  /** Takes a request unless the server is full. */
  accept(job: Job): boolean {
    const maximum = this.slots + this.queueLength;
    if (this.running.length + this.waiting.length >= maximum) return false;
    this.waiting.push(job);
    return true;
  }

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

  get report(): ServerReport {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      slots: this.slots,
      slowdown: this.slowdown,
    };
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
  readonly #retryBudget: FleetRetryBudget;
  readonly #estimates: RouteEstimates;

  constructor(
    readonly id: string,
    readonly service: SimulatedService,
  ) {
    const { load } = service;
    const clock = () => service.now;
    this.#budget = new RateBudget(clock, () => load.maximumProbesPerSecond);
    this.#retryBudget = new FleetRetryBudget({
      clock,
      share: load.retryShare ?? 0,
      allowance: 0,
      windowMilliseconds: RETRY_WINDOW_MILLISECONDS,
      memberCount: () => load.entries,
    });
    this.#estimates = new RouteEstimates({
      objectiveMilliseconds: load.objectiveMilliseconds,
      isDownload: false,
    });
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

  addRequest(call: Call): void {
    const { now, load } = this.service;
    const deadlineAt = call.firstArrivedAt + load.deadlineMilliseconds;
    this.#retryBudget.recordRequest();
    const age = this.#estimates.recordCallerTimeout(deadlineAt - now);
    const queuedRequest: QueuedRequest = {
      priority: 1,
      serviceTimeMilliseconds: load.serviceTimeMilliseconds,
      arrivedAtMilliseconds: now,
      objectiveMilliseconds: load.objectiveMilliseconds,
      objectiveAtMilliseconds: now - age + load.objectiveMilliseconds,
      deadlineAtMilliseconds: deadlineAt,
      isCallerRetry: age > 0,
      onDequeued: (decision) => {
        if (decision === "try") this.#trySend(request);
        else this.#endWait(request);
      },
    };
    const request: Request = {
      queuedRequest,
      call,
      tried: new Set(),
    };
    if (this.queue.countAhead(queuedRequest, now) > 0) {
      this.queue.add(queuedRequest);
    } else this.#trySend(request);
  }

  serveQueue(): void {
    const { now } = this.service;
    for (const late of this.queue.shedLate(now)) late.onDequeued("give-up");
    this.queue.takeNext(now)?.onDequeued("try");
    this.#tellWaiting();
  }

  #tellWaiting(): void {
    const { now, waiters } = this.service;
    const first = this.queue.first(now);
    if (first === undefined) return;
    waiters.add({ ...waitingRequestOf(first, now), entry: this.id }, now);
  }

  #trySend(request: Request): void {
    const { now, policy } = this.service;
    const { queuedRequest, tried } = request;
    const maximumMilliseconds = tried.size > 0
      ? Infinity
      : policy.maximumExpectedMilliseconds(
        queuedRequest.objectiveAtMilliseconds - now,
      );
    const result = this.#probeAndPlace(tried, maximumMilliseconds);
    if (result.kind === "placed") this.#send(request, result);
    else this.queue.add(queuedRequest);
  }

  #endWait(request: Request): void {
    const { now, policy } = this.service;
    const { queuedRequest, tried, call } = request;
    const result = policy.mayPlaceLate(this.queue.length)
      ? this.#place("mean", tried, queuedRequest.deadlineAtMilliseconds - now)
      : undefined;
    if (result?.kind === "placed") this.#send(request, result);
    else this.service.refuse(call);
  }

  /** Probes the selected servers for their load, as the gateway does. */
  #probeAndPlace(
    tried: ReadonlySet<string>,
    maximumMilliseconds: number,
  ): PlacementResult {
    const { now } = this.service;
    const excluded = new Set(tried);
    for (let probesSent = 0;; probesSent++) {
      const optimistic = this.#place(
        "optimistic",
        excluded,
        maximumMilliseconds,
      );
      if (optimistic.kind !== "placed") break;
      const { server } = optimistic.placement;
      const isProbeNeeded = (probes: number) =>
        needsLoadProbe({
          reportAgeMilliseconds: server.reportAgeMilliseconds(now),
          mayReport: server.mayReport,
          probesSent: probes,
          maximumProbes: MAXIMUM_PROBES,
          remainingMilliseconds: Infinity,
        });
      if (!isProbeNeeded(0)) return optimistic;
      if (!isProbeNeeded(probesSent)) break;
      const { id } = server.registration;
      if (this.#budget.trySpend()) this.recordReport(Number(id));
      else excluded.add(id);
    }
    const result = this.#place("mean", excluded, maximumMilliseconds);
    return result.kind === "none"
      ? this.#place("mean", tried, maximumMilliseconds)
      : result;
  }

  #place(
    staleEstimate: StaleEstimate,
    tried: ReadonlySet<string>,
    maximumExpectedMilliseconds: number,
  ): PlacementResult {
    const { now, random, load, policy } = this.service;
    const request: PlacementRequest = {
      serviceTimeMilliseconds: load.serviceTimeMilliseconds,
      objectiveMilliseconds: load.objectiveMilliseconds,
      answerBytes: 0,
      tried,
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
      assumedOccupancy: reportedOccupancy(this.loads, now),
      concurrencyLimit: policy.concurrencyLimit,
    };
    return place(this.loads, request, context);
  }

  #send(request: Request, { placement }: PlacedResult): void {
    const { load, random, servers } = this.service;
    const attempt = {};
    placement.server.recordStart(attempt);
    const spread = 0.5 + random();
    const index = Number(placement.server.registration.id);
    const job: Job = {
      remainingMilliseconds: load.serviceTimeMilliseconds * spread,
      slowdownAtStart: 1,
      request,
      entry: this,
      attempt,
    };
    if (!servers[index].accept(job)) this.#onServerRefusal(job, index);
  }

  /** Tries another server if the retry budget allows it. */
  #onServerRefusal({ request, attempt }: Job, index: number): void {
    this.recordReport(index);
    this.loads[index].recordEnd(attempt, "refused", this.service.now);
    if (request.tried.size > 0 || !this.#retryBudget.trySpend()) {
      return this.service.refuse(request.call);
    }
    request.tried.add(String(index));
    this.#trySend(request);
  }

  /** Records the load that a server reports. */
  recordReport(index: number): void {
    const { servers, now } = this.service;
    this.loads[index].recordReport(servers[index].report, now);
  }

  end({ attempt }: Job, index: number): void {
    this.recordReport(index);
    this.loads[index].recordEnd(attempt, "answered", this.service.now);
    if (this.queue.length === 0) this.service.offerSlot(index);
    this.serveQueue();
  }

  receiveCounts(peer: SimulatedEntry): void {
    for (const [index, load] of this.loads.entries()) {
      const count = peer.loads[index].ownInFlight;
      load.recordPeerInFlight(peer.id, count, this.service.now);
    }
  }
}

type Outcome = { total: number; inTime: number; late: number; refused: number };

class SimulatedService {
  now = 0;
  readonly random: () => number;
  readonly servers: readonly SimulatedServer[];
  readonly entries: readonly SimulatedEntry[];
  readonly waiters = new SlotWaiters();
  #offeredSlots: OfferedSlot[] = [];
  /** Outcomes of the calls that arrived first in each second. */
  readonly #outcomes: readonly Outcome[];
  #returningCalls: { readonly at: number; readonly call: Call }[] = [];

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
          load.serverQueueLength ?? Infinity,
        ),
    );
    this.entries = Array.from(
      { length: load.entries },
      (_, index) => new SimulatedEntry(`entry-${index}`, this),
    );
    this.#outcomes = Array.from(
      { length: load.seconds },
      () => ({ total: 0, inTime: 0, late: 0, refused: 0 }),
    );
  }

  run(): SimulationResult {
    const { seconds } = this.load;
    for (; this.now < seconds * MILLISECONDS_IN_SECOND; this.now++) {
      this.#tick();
    }
    const sum = (count: (outcome: Outcome) => number) =>
      this.#outcomes.reduce((total, outcome) => total + count(outcome), 0);
    const total = sum((outcome) => outcome.total);
    return {
      total,
      inTime: sum(({ inTime }) => inTime) / total,
      late: sum(({ late }) => late) / total,
      refused: sum(({ refused }) => refused) / total,
      inTimeBySecond: this.#outcomes.map(({ inTime, total }) => inTime / total),
    };
  }

  offerSlot(index: number): void {
    if (!this.load.areSlotsPassed) return;
    const { report } = this.servers[index];
    const limit = limitOfHighestThroughput(report.slots);
    if (report.running + report.waiting >= limit) return;
    const at = this.now + SLOT_DELAY_MILLISECONDS;
    this.#offeredSlots.push({ at, index, report });
  }

  #grantSlots(): void {
    while (this.#offeredSlots[0]?.at <= this.now) {
      const [{ index, report }] = this.#offeredSlots.splice(0, 1);
      const waiter = this.waiters.take(report.slowdown, this.now);
      const entry = this.entries.find(({ id }) => id === waiter?.entry);
      entry?.loads[index].recordReport(
        report,
        this.now - SLOT_DELAY_MILLISECONDS,
      );
      entry?.serveQueue();
    }
  }

  /** The caller returns if it has tries left. */
  refuse({ firstArrivedAt, triesLeft }: Call): void {
    if (triesLeft === 0) {
      this.#outcomeOf(firstArrivedAt).refused += 1;
      return;
    }
    const { delayMilliseconds = 0 } = this.load.callerRetries ?? {};
    this.#returningCalls.push({
      at: this.now + delayMilliseconds,
      call: { firstArrivedAt, triesLeft: triesLeft - 1 },
    });
  }

  #outcomeOf(firstArrivedAt: number): Outcome {
    return this.#outcomes[Math.floor(firstArrivedAt / MILLISECONDS_IN_SECOND)];
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
    if (this.now % this.#queueIntervalMilliseconds === 0) {
      for (const entry of this.entries) entry.serveQueue();
    }
    this.#grantSlots();
    this.#readmitReturningCalls();
    let due = requestsPerSecond(this.now) / MILLISECONDS_IN_SECOND;
    for (; this.random() < due; due -= 1) {
      this.#outcomeOf(this.now).total += 1;
      this.#randomEntry().addRequest({
        firstArrivedAt: this.now,
        triesLeft: this.load.callerRetries?.maximum ?? 0,
      });
    }
  }

  get #queueIntervalMilliseconds(): number {
    const { serviceTimeMilliseconds } = this.load;
    return Math.max(
      MINIMUM_QUEUE_INTERVAL_MILLISECONDS,
      Math.round(QUEUE_INTERVAL_SERVICE_TIMES * serviceTimeMilliseconds),
    );
  }

  #randomEntry(): SimulatedEntry {
    return this.entries[Math.floor(this.random() * this.entries.length)];
  }

  #readmitReturningCalls(): void {
    const due = this.#returningCalls.filter(({ at }) => at <= this.now);
    if (due.length === 0) return;
    this.#returningCalls = this.#returningCalls.filter(({ at }) =>
      at > this.now
    );
    for (const { call } of due) this.#randomEntry().addRequest(call);
  }

  #end(job: Job, index: number): void {
    const { firstArrivedAt } = job.request.call;
    const elapsed = this.now - firstArrivedAt;
    const outcome = this.#outcomeOf(firstArrivedAt);
    const { objectiveMilliseconds, deadlineMilliseconds } = this.load;
    if (elapsed <= objectiveMilliseconds) outcome.inTime += 1;
    else if (elapsed <= deadlineMilliseconds) outcome.late += 1;
    else outcome.refused += 1;
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
