/**
 * Plays a load on one service with the real placement and waiting line, on a
 * virtual clock of one millisecond.
 *
 * Several entries share the servers. Each knows its own requests exactly, asks
 * a server for its load when its report is old, and hears from its peers what
 * they have in flight at intervals, as a running fleet does. Servers work more
 * slowly above the knee, and a part of them is in a slow phase at any time.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { needsLoadProbe } from "../load_probe.ts";
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
  /** Questions to servers that an entry may ask in a second. */
  readonly maximumProbesPerSecond: number;
  /** Requests in a second at a time, over all entries. */
  readonly requestsPerSecond: (at: number) => number;
  readonly seconds: number;
  readonly serviceTimeMilliseconds: number;
  readonly objectiveMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Part of the servers that is in a slow phase. */
  readonly slowServerShare: number;
  readonly slowdown: number;
  /** Time of a phase. */
  readonly meanPhaseMilliseconds: number;
  /** Servers that take this many times as long and report nothing of it. */
  readonly stragglers?: { readonly count: number; readonly factor: number };
};

export type PlacementPolicy = {
  /** A first attempt is made where it is expected to end within this. */
  readonly maximumExpectedMilliseconds: (leftMilliseconds: number) => number;
  /** Whether a request takes any room when its patience is over. */
  readonly mayPlaceLate: (waiting: number) => boolean;
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
/** Entries hear from those of their own failure domain, and from others. */
const NEAR_MILLISECONDS = 40;
const FAR_MILLISECONDS = 200;
const FAILURE_DOMAINS = 4;
const TURN_MILLISECONDS = 8;

type Job = {
  left: number;
  readonly arrivedAt: number;
  readonly entry: Entry;
  readonly attempt: object;
};

class PlayedServer {
  readonly running: Job[] = [];
  readonly waiting: Job[] = [];
  slowdown = 1;

  constructor(readonly slots: number, readonly straggles: number) {}

  /** Works for a millisecond; returns what has ended. */
  work(): Job[] {
    while (this.running.length < this.slots && this.waiting.length > 0) {
      this.running.push(...this.waiting.splice(0, 1));
    }
    const crowding = this.running.length > KNEE_OCCUPANCY * this.slots
      ? KNEE_SLOWDOWN
      : 1;
    const ended: Job[] = [];
    for (const job of [...this.running]) {
      job.left -= 1 / (this.slowdown * crowding * this.straggles);
      if (job.left > 0) continue;
      this.running.splice(this.running.indexOf(job), 1);
      ended.push(job);
    }
    return ended;
  }
}

class Entry {
  readonly line = new RequestQueue();
  readonly loads: ServerLoad[];
  readonly #budget: RateBudget;

  constructor(
    readonly id: string,
    readonly service: PlayedService,
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

  arrive(): void {
    const { now, load } = this.service;
    const ticket: QueuedRequest = {
      priority: 1,
      serviceTimeMilliseconds: load.serviceTimeMilliseconds,
      arrivedAtMilliseconds: now,
      objectiveAtMilliseconds: now + load.objectiveMilliseconds,
      deadlineAtMilliseconds: now + load.deadlineMilliseconds,
      isCallerRetry: false,
      onDequeued: (turn) => {
        if (turn === "try") this.#try(ticket);
        else this.#giveUp(ticket);
      },
    };
    if (this.line.countAhead(ticket, now) > 0) {
      this.line.add(ticket);
    } else this.#try(ticket);
  }

  turn(): void {
    const { now } = this.service;
    for (const ticket of this.line.shedLate(now)) ticket.onDequeued("give-up");
    this.line.takeNext(now)?.onDequeued("try");
  }

  #try(ticket: QueuedRequest): void {
    const { now, policy } = this.service;
    const most = policy.maximumExpectedMilliseconds(
      ticket.objectiveAtMilliseconds - now,
    );
    const result = this.#confirm(most);
    if (result.kind === "placed") this.#send(ticket, result);
    else this.line.add(ticket);
  }

  #giveUp(ticket: QueuedRequest): void {
    const { now, policy, outcome } = this.service;
    const result = policy.mayPlaceLate(this.line.length)
      ? this.#place("mean", ticket.deadlineAtMilliseconds - now)
      : undefined;
    if (result?.kind === "placed") this.#send(ticket, result);
    else outcome.refused += 1;
  }

  /** Asks the chosen servers for their load as the entry does. */
  #confirm(most: number): PlacementResult {
    const { now } = this.service;
    for (let asked = 0;; asked++) {
      const hoped = this.#place("hopeful", most);
      if (hoped.kind !== "placed") break;
      const { server } = hoped.placement;
      const isAsked = needsLoadProbe({
        reportAgeMilliseconds: server.reportAgeMilliseconds(now),
        probesSent: asked,
        remainingMilliseconds: Infinity,
      });
      if (!isAsked) return hoped;
      if (!this.#budget.trySpend()) break;
      this.report(Number(server.registration.id));
    }
    return this.#place("mean", most);
  }

  #place(staleView: StaleEstimate, mostMilliseconds: number): PlacementResult {
    const { now, random, load } = this.service;
    const request: PlacementRequest = {
      serviceTimeMilliseconds: load.serviceTimeMilliseconds,
      objectiveMilliseconds: load.objectiveMilliseconds,
      answerBytes: 0,
      tried: new Set(),
      maximumCrossDomainCostObjectives: Infinity,
      maximumExpectedMilliseconds: mostMilliseconds,
    };
    const context: PlacementContext = {
      now,
      random,
      ownFailureDomain: "one",
      crossDomainCost: { roundTripMilliseconds: 0, objectivesPerMegabyte: 0 },
      staleEstimate: staleView,
    };
    return place(this.loads, request, context);
  }

  #send(
    ticket: QueuedRequest,
    { placement }: Extract<PlacementResult, { kind: "placed" }>,
  ): void {
    const { load, random, servers } = this.service;
    const attempt = {};
    placement.server.recordStart(attempt);
    const spread = 0.5 + random();
    servers[Number(placement.server.registration.id)].waiting.push({
      left: load.serviceTimeMilliseconds * spread,
      arrivedAt: ticket.arrivedAtMilliseconds,
      entry: this,
      attempt,
    });
  }

  /** Takes the load that a server states of itself. */
  report(index: number): void {
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
    this.report(index);
    this.loads[index].recordEnd(job.attempt, "answered", this.service.now);
    this.turn();
  }

  hear(peer: Entry): void {
    for (const [index, load] of this.loads.entries()) {
      const count = peer.loads[index].ownInFlight;
      load.recordPeerInFlight(peer.id, count, this.service.now);
    }
  }
}

class PlayedService {
  now = 0;
  readonly random: () => number;
  readonly servers: readonly PlayedServer[];
  readonly entries: readonly Entry[];
  readonly outcome = { all: 0, inTime: 0, late: 0, refused: 0 };

  constructor(
    readonly load: SimulatedLoad,
    readonly policy: PlacementPolicy,
    seed: number,
  ) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
    const { count = 0, factor: times = 1 } = load.stragglers ?? {};
    this.servers = Array.from(
      { length: load.servers },
      (_, index) => new PlayedServer(load.slots, index < count ? times : 1),
    );
    this.entries = Array.from(
      { length: load.entries },
      (_, index) => new Entry(`entry-${index}`, this),
    );
  }

  play(): SimulationResult {
    for (; this.now < this.load.seconds * 1_000; this.now++) this.#tick();
    const { all, inTime, late, refused } = this.outcome;
    return {
      total: all,
      inTime: inTime / all,
      late: late / all,
      refused: refused / all,
    };
  }

  #tick(): void {
    const {
      meanPhaseMilliseconds: phaseMilliseconds,
      slowServerShare: slowShare,
      slowdown,
      requestsPerSecond: perSecond,
    } = this.load;
    for (const server of this.servers) {
      if (this.random() >= 1 / phaseMilliseconds) continue;
      server.slowdown = this.random() < slowShare ? slowdown : 1;
    }
    for (const [index, server] of this.servers.entries()) {
      for (const job of server.work()) this.#end(job, index);
    }
    if (this.now % NEAR_MILLISECONDS === 0) this.#share();
    if (this.now % TURN_MILLISECONDS === 0) {
      for (const entry of this.entries) entry.turn();
    }
    let due = perSecond(this.now) / 1_000;
    for (; this.random() < due; due -= 1) {
      this.outcome.all += 1;
      const index = Math.floor(this.random() * this.entries.length);
      this.entries[index].arrive();
    }
  }

  #end(job: Job, index: number): void {
    const took = this.now - job.arrivedAt;
    const { objectiveMilliseconds, deadlineMilliseconds } = this.load;
    if (took <= objectiveMilliseconds) this.outcome.inTime += 1;
    else if (took <= deadlineMilliseconds) this.outcome.late += 1;
    else this.outcome.refused += 1;
    job.entry.end(job, index);
  }

  #share(): void {
    const isFarTime = this.now % FAR_MILLISECONDS === 0;
    for (const [index, entry] of this.entries.entries()) {
      for (const [other, peer] of this.entries.entries()) {
        if (peer === entry) continue;
        const isNear = index % FAILURE_DOMAINS === other % FAILURE_DOMAINS;
        if (isNear || isFarTime) entry.hear(peer);
      }
    }
  }
}

/** Plays a load; the same seed plays the same requests and phases. */
export function simulateService(
  load: SimulatedLoad,
  policy: PlacementPolicy,
  seed: number,
): SimulationResult {
  return new PlayedService(load, policy, seed).play();
}
