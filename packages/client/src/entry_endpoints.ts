/**
 * Asks entries which entries to use, and keeps the answer while it is valid.
 */
import { err, ok, type Result } from "neverthrow";
import type {
  EntriesAnswer,
  EntryEndpoint,
} from "@marigoldford/kernel/entry_endpoint";
import type { Address, Clock, RandomSource } from "@marigoldford/kernel/types";
import type { HttpClient } from "./http_client.ts";

export type NoEntry = {
  readonly kind: "no-entry";
  readonly asked: readonly Address[];
};

export type EntryEndpointsOptions = {
  /** Addresses to ask first, before any answer is known. */
  readonly seeds: readonly Address[];
  /** Entries of this failure domain are preferred. */
  readonly failureDomain?: string | undefined;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly entryListTimeoutMilliseconds: number;
};

type KeptAnswer = {
  readonly endpoints: readonly EntryEndpoint[];
  readonly validUntil: number;
};

export class EntryEndpoints {
  readonly #options: EntryEndpointsOptions;
  #kept: KeptAnswer | undefined;
  #asking: Promise<Result<readonly EntryEndpoint[], NoEntry>> | undefined;

  constructor(options: EntryEndpointsOptions) {
    this.#options = options;
  }

  /** Offers in the order to try them. */
  async inPreferenceOrder(): Promise<Result<EntryEndpoint[], NoEntry>> {
    const endpoints = await this.#current();
    return endpoints.map((list) => this.#shuffle(list));
  }

  /** Forgets the kept answer, after an entry failed. */
  clear(): void {
    this.#kept = undefined;
  }

  #current(): Promise<Result<readonly EntryEndpoint[], NoEntry>> {
    const kept = this.#kept;
    if (kept !== undefined && kept.validUntil > this.#options.clock()) {
      return Promise.resolve(ok(kept.endpoints));
    }
    this.#asking ??= this.#ask().finally(() => this.#asking = undefined);
    return this.#asking;
  }

  async #ask(): Promise<Result<readonly EntryEndpoint[], NoEntry>> {
    const addresses = this.#addressesToAsk();
    for (const address of addresses) {
      const answer = await this.#askOne(address);
      if (answer === undefined) continue;
      this.#kept = answer;
      return ok(answer.endpoints);
    }
    return err({ kind: "no-entry", asked: addresses });
  }

  /** Entries that were offered last go before the seeds. */
  #addressesToAsk(): Address[] {
    const known = this.#kept?.endpoints.map(({ address }) => address) ?? [];
    return [...new Set([...this.#shuffle(known), ...this.#options.seeds])];
  }

  async #askOne(address: Address): Promise<KeptAnswer | undefined> {
    const {
      httpClient,
      clock,
      entryListTimeoutMilliseconds,
    } = this.#options;
    const answer = await httpClient.send(address, {
      method: "GET",
      path: "/marigoldford/entries",
      headers: {},
      body: undefined,
      timeoutMilliseconds: entryListTimeoutMilliseconds,
    });
    if (answer.isErr() || answer.value.status !== 200) return undefined;
    const body = parseEntries(answer.value.body.toString());
    if (body?.entries === undefined || body.entries.length === 0) {
      return undefined;
    }
    const validUntil = clock() + (body.validForMilliseconds ?? 0);
    return { endpoints: body.entries, validUntil };
  }

  #shuffle<Item>(items: readonly Item[]): Item[] {
    const { random, failureDomain } = this.#options;
    const drawn = items.map((item) => ({ item, at: random() }));
    drawn.sort((left, right) => left.at - right.at);
    const shuffled = drawn.map(({ item }) => item);
    if (failureDomain === undefined) return shuffled;
    const isNear = (item: Item) =>
      (item as Partial<EntryEndpoint>).failureDomain === failureDomain;
    return [
      ...shuffled.filter(isNear),
      ...shuffled.filter((item) => !isNear(item)),
    ];
  }
}

function parseEntries(text: string): Partial<EntriesAnswer> | undefined {
  try {
    return JSON.parse(text) as Partial<EntriesAnswer>;
  } catch {
    return undefined;
  }
}
