/**
 * State of one service at an entry: its backend servers, limits, budgets and
 * queue. Decides which backend server a call is sent to.
 */
import { BackendServerState } from "./backend_server_state.ts";
import { type CandidateSelection, selectCandidates } from "./candidates.ts";
import type { Choice, ChoosingPolicy } from "./choosing_policy.ts";
import type { BudgetName } from "./intention.ts";
import type { NotRunReason } from "./refusal.ts";
import type { ServiceIntentions } from "./routing_table.ts";
import { medianLatencyMilliseconds } from "./straggler.ts";
import { TokenBudget } from "./token_budget.ts";
import type { Address, Clock, ServiceName } from "./types.ts";
import { WaitQueue } from "./wait_queue.ts";

export type ServicePoolDefaults = {
  /** Maximum number of own calls in flight per slot of a backend server. */
  readonly inFlightPerSlot: number;
  readonly queueLength: number;
  readonly deadlineMilliseconds: number;
  readonly retryShare: number;
  readonly hedgeShare: number;
  /** Maximum number of entries that share a backend server's connections. */
  readonly entriesCeiling: number;
};

export type ServicePoolOptions = {
  readonly intentions: ServiceIntentions;
  readonly clock: Clock;
  readonly policy: ChoosingPolicy;
  readonly defaults: ServicePoolDefaults;
  readonly isLeaving: (address: Address) => boolean;
};

export type PlaceRequest = {
  readonly deadlineAtMilliseconds: number;
  readonly tried: ReadonlySet<Address>;
  /** Whether the call is suspected of having crashed a backend server. */
  readonly isSuspect: boolean;
};

export type PlaceDecision =
  | {
    readonly kind: "placed";
    readonly choice: Choice;
    readonly candidateCount: number;
  }
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly reason: NotRunReason };

const MAXIMUM_BUDGET_TOKENS = 10;
const MINIMUM_IN_FLIGHT_LIMIT = 1;
const DEFAULT_HEDGE_DELAY_MILLISECONDS = 50;
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 5;
const HEDGE_LATENCY_FACTOR = 3;

export class ServicePool {
  readonly queue = new WaitQueue();
  readonly #options: ServicePoolOptions;
  readonly #states = new Map<Address, BackendServerState>();
  #intentions: ServiceIntentions;
  #retryBudget: TokenBudget;
  #hedgeBudget: TokenBudget;

  constructor(options: ServicePoolOptions) {
    this.#options = options;
    this.#intentions = options.intentions;
    this.#retryBudget = this.#makeBudget("retry-share");
    this.#hedgeBudget = this.#makeBudget("hedge-share");
    this.#syncStates();
  }

  get service(): ServiceName {
    return this.#intentions.service;
  }

  get servers(): BackendServerState[] {
    return [...this.#states.values()];
  }

  get retryBudget(): TokenBudget {
    return this.#retryBudget;
  }

  get hedgeBudget(): TokenBudget {
    return this.#hedgeBudget;
  }

  get deadlineMilliseconds(): number {
    return this.#intentions.limits.get("deadline-milliseconds") ??
      this.#options.defaults.deadlineMilliseconds;
  }

  /** Applies new intentions; keeps the state of servers that remain. */
  update(intentions: ServiceIntentions): void {
    const previous = this.#intentions;
    this.#intentions = intentions;
    if (
      previous.budgets.get("retry-share") !== this.budgetShare("retry-share")
    ) {
      this.#retryBudget = this.#makeBudget("retry-share");
    }
    if (
      previous.budgets.get("hedge-share") !== this.budgetShare("hedge-share")
    ) {
      this.#hedgeBudget = this.#makeBudget("hedge-share");
    }
    this.#syncStates();
    this.queue.wakeAll();
  }

  /** The share that the sheet sets for a budget of this service, if any. */
  budgetShare(name: BudgetName): number | undefined {
    return this.#intentions.budgets.get(name);
  }

  /** Adds a call's share to the retry and hedge budgets. */
  recordCall(): void {
    this.#retryBudget.earn();
    this.#hedgeBudget.earn();
  }

  /** Chooses a backend server for a call, or lets it wait, or refuses it. */
  place(request: PlaceRequest): PlaceDecision {
    const now = this.#options.clock();
    if (now >= request.deadlineAtMilliseconds) {
      return { kind: "refuse", reason: "deadline-passed" };
    }
    this.#updateLeaving();
    const selection = this.#select(request, now);
    if (selection.candidates.length > 0) {
      const choice = this.#options.policy.choose(selection.candidates);
      const candidateCount = selection.candidates.length;
      return { kind: "placed", choice, candidateCount };
    }
    if (!selection.mayHaveCapacityLater) {
      return { kind: "refuse", reason: "no-backend-server" };
    }
    return this.#waitOrRefuse(request, now);
  }

  /** Maximum number of own calls in flight at one backend server. */
  inFlightLimit(server: BackendServerState): number {
    const { slots, connections } = server.intention;
    const perSlot = this.#intentions.limits.get("in-flight-per-slot") ??
      this.#options.defaults.inFlightPerSlot;
    return Math.max(
      MINIMUM_IN_FLIGHT_LIMIT,
      Math.min(slots * perSlot, this.#connectionShare(connections)),
    );
  }

  /** Time to wait for an answer before a hedge is worth its extra load. */
  hedgeDelayMilliseconds(): number {
    const latency = medianLatencyMilliseconds(this.servers);
    if (latency === undefined) return DEFAULT_HEDGE_DELAY_MILLISECONDS;
    return Math.max(
      MINIMUM_HEDGE_DELAY_MILLISECONDS,
      latency * HEDGE_LATENCY_FACTOR,
    );
  }

  #connectionShare(connections: number): number {
    return Math.floor(connections / this.#options.defaults.entriesCeiling);
  }

  #select(request: PlaceRequest, now: number): CandidateSelection {
    return selectCandidates(this.#states.values(), {
      now,
      tried: request.tried,
      isSuspect: request.isSuspect,
      inFlightLimit: (server) => this.inFlightLimit(server),
    });
  }

  /** Refuses at once when the expected wait exceeds the call's deadline. */
  #waitOrRefuse(request: PlaceRequest, now: number): PlaceDecision {
    const maximumLength = this.#intentions.limits.get("queue-length") ??
      this.#options.defaults.queueLength;
    const timeLeft = request.deadlineAtMilliseconds - now;
    const wouldMissDeadline = this.#expectedWaitMilliseconds() > timeLeft;
    if (this.queue.length >= maximumLength || wouldMissDeadline) {
      return { kind: "refuse", reason: "queue-full" };
    }
    return { kind: "wait" };
  }

  #expectedWaitMilliseconds(): number {
    const latency = medianLatencyMilliseconds(this.servers) ?? 0;
    let inFlight = 0;
    for (const server of this.#states.values()) inFlight += server.ownInFlight;
    if (inFlight === 0) return 0;
    return (this.queue.length + 1) * latency / inFlight;
  }

  #updateLeaving(): void {
    for (const server of this.#states.values()) {
      server.setLeaving(this.#options.isLeaving(server.address));
    }
  }

  #syncStates(): void {
    const now = this.#options.clock();
    const listed = new Set<Address>();
    for (const intention of this.#intentions.backendServers) {
      listed.add(intention.address);
      const state = this.#states.get(intention.address);
      if (state !== undefined) state.intention = intention;
      else this.#add(new BackendServerState(intention, now));
    }
    for (const address of this.#states.keys()) {
      if (!listed.has(address)) this.#states.delete(address);
    }
  }

  #add(state: BackendServerState): void {
    this.#states.set(state.address, state);
  }

  #makeBudget(name: "retry-share" | "hedge-share"): TokenBudget {
    const { retryShare, hedgeShare } = this.#options.defaults;
    const defaultShare = name === "retry-share" ? retryShare : hedgeShare;
    const share = this.budgetShare(name) ?? defaultShare;
    return new TokenBudget({ share, maximumTokens: MAXIMUM_BUDGET_TOKENS });
  }
}
