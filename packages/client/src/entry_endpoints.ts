/**
 * Reads the list of entries from an entry, and caches it while it is valid.
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
  /** Addresses that did not answer with a list of entries. */
  readonly asked: readonly Address[];
};

export type EntryEndpointsOptions = {
  /** Addresses of entries to read the first list from. */
  readonly seeds: readonly Address[];
  /** Entries of this failure domain are preferred. */
  readonly failureDomain?: string | undefined;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly entryListTimeoutMilliseconds: number;
};

type CachedList = {
  readonly endpoints: readonly EntryEndpoint[];
  readonly validUntilMilliseconds: number;
};

export class EntryEndpoints {
  readonly #options: EntryEndpointsOptions;
  #cached: CachedList | undefined;
  #pendingRead: Promise<Result<readonly EntryEndpoint[], NoEntry>> | undefined;

  constructor(options: EntryEndpointsOptions) {
    this.#options = options;
  }

  /** Entries in the order in which to try them. */
  async inPreferenceOrder(): Promise<Result<EntryEndpoint[], NoEntry>> {
    const endpoints = await this.#currentEndpoints();
    return endpoints.map((list) => this.#shuffle(list));
  }

  /** Clears the cached list, after an entry failed. */
  clear(): void {
    this.#cached = undefined;
  }

  #currentEndpoints(): Promise<Result<readonly EntryEndpoint[], NoEntry>> {
    const cached = this.#cached;
    if (
      cached !== undefined &&
      cached.validUntilMilliseconds > this.#options.clock()
    ) {
      return Promise.resolve(ok(cached.endpoints));
    }
    this.#pendingRead ??= this.#readList().finally(() =>
      this.#pendingRead = undefined
    );
    return this.#pendingRead;
  }

  async #readList(): Promise<Result<readonly EntryEndpoint[], NoEntry>> {
    const addresses = this.#addressesToTry();
    for (const address of addresses) {
      const answer = await this.#readListFrom(address);
      if (answer === undefined) continue;
      this.#cached = answer;
      return ok(answer.endpoints);
    }
    return err({ kind: "no-entry", asked: addresses });
  }

  /** Entries of the last list come before the seeds. */
  #addressesToTry(): Address[] {
    const known = this.#cached?.endpoints.map(({ address }) => address) ?? [];
    return [...new Set([...this.#shuffle(known), ...this.#options.seeds])];
  }

  async #readListFrom(address: Address): Promise<CachedList | undefined> {
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
    const validUntilMilliseconds = clock() + (body.validForMilliseconds ?? 0);
    return { endpoints: body.entries, validUntilMilliseconds };
  }

  /** Random order; entries of the preferred failure domain come first. */
  #shuffle<Item>(items: readonly Item[]): Item[] {
    const { random, failureDomain } = this.#options;
    const keyed = items.map((item) => ({ item, sortKey: random() }));
    keyed.sort((left, right) => left.sortKey - right.sortKey);
    const shuffled = keyed.map(({ item }) => item);
    if (failureDomain === undefined) return shuffled;
    const isSameDomain = (item: Item) =>
      (item as Partial<EntryEndpoint>).failureDomain === failureDomain;
    return [
      ...shuffled.filter(isSameDomain),
      ...shuffled.filter((item) => !isSameDomain(item)),
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
