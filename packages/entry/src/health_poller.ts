/**
 * Polls the health endpoints of backend servers, within a hard budget.
 *
 * Rendezvous hashing gives each backend server to a few entries. The budget
 * is a share of the slot time of all backend servers, divided by the ceiling
 * of entries, so that no error of membership, restart or partition exceeds
 * it. A poll only ever adds a mark that a backend server leaves: an endpoint
 * that says all is well is not believed over another source.
 */
import { get } from "node:http";
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
  readonly entriesCeiling: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly incarnation: Incarnation;
  readonly directory: EntryDirectory;
  readonly pools: ServicePools;
  readonly metrics: EntryMetrics;
  readonly onLeaving: (address: Address) => void;
};

const TURN_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

export class HealthPoller {
  readonly #options: HealthPollerOptions;
  readonly #dueAt = new Map<Address, number>();
  #tokens = 1;
  #lastTurn: number;

  constructor(options: HealthPollerOptions) {
    this.#options = options;
    this.#lastTurn = options.clock();
  }

  get turnMilliseconds(): number {
    return TURN_MILLISECONDS;
  }

  /** Polls a second that this entry may make at the most. */
  pollsPerSecondAllowed(): number {
    const { settings, entriesCeiling, pools } = this.#options;
    let slotsForPolls = 0;
    for (const pool of pools.all()) {
      const share = pool.budgetShare("probe-slot-share") ?? settings.slotShare;
      for (const server of pool.servers) {
        slotsForPolls += share * server.intention.slots;
      }
    }
    const fleet = slotsForPolls * MILLISECONDS_PER_SECOND /
      settings.costMilliseconds;
    return fleet / entriesCeiling;
  }

  /** Polls what is due and affordable; called every turn. */
  turn(): void {
    const now = this.#options.clock();
    this.#earnTokens(now);
    for (const address of this.#options.pools.addresses()) {
      if (!this.#isDue(address, now)) continue;
      if (this.#tokens < 1) return;
      this.#tokens -= 1;
      this.#schedule(address, now);
      if (this.#isMine(address)) this.#poll(address);
      else this.#tokens += 1;
    }
  }

  #earnTokens(now: number): void {
    const elapsed = (now - this.#lastTurn) / MILLISECONDS_PER_SECOND;
    this.#lastTurn = now;
    const rate = this.pollsPerSecondAllowed();
    this.#tokens = Math.min(
      Math.max(1, rate),
      this.#tokens + elapsed * rate,
    );
  }

  /** A new address gets a random first moment, to spread the polls. */
  #isDue(address: Address, now: number): boolean {
    const dueAt = this.#dueAt.get(address);
    if (dueAt !== undefined) return now >= dueAt;
    const { pollIntervalMilliseconds } = this.#options.settings;
    const spread = this.#options.random() * pollIntervalMilliseconds;
    this.#dueAt.set(address, now + spread);
    return false;
  }

  #schedule(address: Address, now: number): void {
    this.#dueAt.set(
      address,
      now + this.#options.settings.pollIntervalMilliseconds,
    );
  }

  #isMine(address: Address): boolean {
    const { directory, incarnation, settings } = this.#options;
    const members = new Set(
      directory.serving().map((record) => record.incarnation),
    );
    members.add(incarnation);
    const ranked = rankMembers(`poll ${address}`, members);
    return ranked.slice(0, settings.pollersPerServer).includes(incarnation);
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
      response.resume();
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => {});
  }
}
