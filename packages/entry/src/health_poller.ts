/**
 * Polls the health endpoints of backend servers, within a hard budget.
 *
 * Rendezvous hashing assigns each backend server to a few entries. The budget
 * is a share of the slot time of all backend servers, divided by the maximum
 * number of entries, so that wrong membership, a restart or a partition cannot
 * exceed it. A poll can only mark a backend server as leaving: an endpoint that
 * reports a healthy server does not override another source.
 */
import { get } from "node:http";
import { discardAnswer } from "@marigoldford/http_answers/discard_answer";
import { splitAddress } from "@marigoldford/kernel/address";
import type { EntryDirectory } from "@marigoldford/kernel/entry_directory";
import { rankMembers } from "@marigoldford/kernel/rendezvous";
import type {
  Address,
  Clock,
  Incarnation,
  RandomSource,
} from "@marigoldford/kernel/types";
import type { EntryMetrics } from "./metrics.ts";
import type { EntryOptions } from "./options.ts";
import type { ServicePools } from "./service_pools.ts";

export type HealthPollerOptions = {
  readonly settings: EntryOptions["health"];
  /** Maximum number of entries, among which the poll budget is divided. */
  readonly entriesCeiling: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly incarnation: Incarnation;
  readonly directory: EntryDirectory;
  readonly pools: ServicePools;
  readonly metrics: EntryMetrics;
  readonly onLeaving: (address: Address) => void;
};

const TICK_INTERVAL_MILLISECONDS = 250;
const MILLISECONDS_PER_SECOND = 1_000;

export class HealthPoller {
  readonly #options: HealthPollerOptions;
  readonly #dueAt = new Map<Address, number>();
  #tokens = 1;
  #lastTickAt: number;
  #members = "";
  #addresses: ReadonlySet<Address> = new Set();

  constructor(options: HealthPollerOptions) {
    this.#options = options;
    this.#lastTickAt = options.clock();
  }

  get tickIntervalMilliseconds(): number {
    return TICK_INTERVAL_MILLISECONDS;
  }

  /** This entry's share of the poll budget of the fleet. */
  maximumPollsPerSecond(): number {
    const { settings, entriesCeiling, pools } = this.#options;
    let slotsForPolls = 0;
    for (const pool of pools.all()) {
      const share = pool.budgetShare("probe-slot-share") ?? settings.slotShare;
      for (const server of pool.servers) {
        slotsForPolls += share * server.intention.slots;
      }
    }
    const fleetPollsPerSecond = slotsForPolls * MILLISECONDS_PER_SECOND /
      settings.costMilliseconds;
    return fleetPollsPerSecond / entriesCeiling;
  }

  /** Polls the backend servers that are due, as far as tokens allow. */
  tick(): void {
    const now = this.#options.clock();
    this.#updateAssignment(now);
    this.#refillTokens(now);
    for (const [address, dueAt] of this.#dueAt) {
      if (dueAt > now) continue;
      if (this.#tokens < 1) return;
      this.#tokens -= 1;
      const { pollIntervalMilliseconds } = this.#options.settings;
      this.#dueAt.set(address, now + pollIntervalMilliseconds);
      this.#poll(address);
    }
  }

  #refillTokens(now: number): void {
    const elapsedSeconds = (now - this.#lastTickAt) / MILLISECONDS_PER_SECOND;
    this.#lastTickAt = now;
    const rate = this.maximumPollsPerSecond();
    const maximumTokens = Math.max(1, rate);
    this.#tokens = Math.min(
      maximumTokens,
      this.#tokens + elapsedSeconds * rate,
    );
  }

  /**
   * Ranking costs a digest for each pair of entry and backend server, so it is
   * done only when entries or backend servers have changed.
   */
  #updateAssignment(now: number): void {
    const { directory, incarnation, pools } = this.#options;
    const entries = new Set(
      directory.servingEntries().map((record) => record.incarnation),
    );
    entries.add(incarnation);
    const addresses = pools.addresses();
    const members = [...entries].sort().join();
    const isSame = members === this.#members &&
      addresses.size === this.#addresses.size &&
      [...addresses].every((address) => this.#addresses.has(address));
    if (isSame) return;
    this.#members = members;
    this.#addresses = addresses;
    this.#assign(entries, now);
  }

  /** A new address gets a random first due time, to spread the polls. */
  #assign(entries: ReadonlySet<Incarnation>, now: number): void {
    const { settings, incarnation, random } = this.#options;
    const previous = new Map(this.#dueAt);
    this.#dueAt.clear();
    for (const address of this.#addresses) {
      const ranked = rankMembers(`poll ${address}`, entries);
      const pollers = ranked.slice(0, settings.pollersPerServer);
      if (!pollers.includes(incarnation)) continue;
      const jitter = random() * settings.pollIntervalMilliseconds;
      this.#dueAt.set(address, previous.get(address) ?? now + jitter);
    }
  }

  #poll(address: Address): void {
    const { settings, metrics, onLeaving } = this.#options;
    metrics.healthPolls += 1;
    const { host, port } = splitAddress(address);
    const request = get({
      host,
      port,
      path: settings.path,
      agent: false,
      timeout: settings.pollTimeoutMilliseconds,
    }, (response) => {
      if (response.headers["backend-state"] === "leaving") onLeaving(address);
      discardAnswer(response);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => {});
  }
}
