/**
 * Watches the platform on behalf of this failure domain.
 *
 * A few entries of each failure domain watch; rendezvous hashing over the
 * known entries selects them, without an election. The others read at long
 * intervals as a fallback, and receive changes over the mesh.
 */
import { rankMembers } from "@marigoldford/kernel/rendezvous";
import type { EntryDirectory } from "@marigoldford/kernel/entry_directory";
import type {
  Clock,
  FailureDomain,
  Incarnation,
} from "@marigoldford/kernel/types";
import { Logger } from "@marigoldford/logger/logger";
import type {
  PlatformClient,
  PlatformInstance,
  PlatformValues,
} from "@marigoldford/configuration_service/platform_client";
import type { EntryOptions } from "./options.ts";

export type PlatformWatcherOptions = {
  readonly client: PlatformClient;
  readonly settings: EntryOptions["platform"];
  readonly directory: EntryDirectory;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly clock: Clock;
  readonly onValues: (values: PlatformValues) => void;
  readonly onInstances: (instances: readonly PlatformInstance[]) => void;
};

const ROLE_CHECK_INTERVAL_MILLISECONDS = 1_000;
const LOG = new Logger("platform");

export class PlatformWatcher {
  readonly #options: PlatformWatcherOptions;
  #newestVersion = 0;
  #hasLastReadSucceeded = false;
  #nextReadAt = 0;
  #nextInstancesReadAt = 0;

  constructor(options: PlatformWatcherOptions) {
    this.#options = options;
  }

  get isConnected(): boolean {
    return this.#hasLastReadSucceeded;
  }

  get newestVersion(): number {
    return this.#newestVersion;
  }

  /** Whether this entry is one of its failure domain's watchers. */
  get isWatcher(): boolean {
    const { directory, incarnation, failureDomain, settings } = this.#options;
    const domainEntries = directory.liveEntries()
      .filter((record) => record.failureDomain === failureDomain)
      .map((record) => record.incarnation);
    const members = new Set([...domainEntries, incarnation]);
    const ranked = rankMembers(`watch ${failureDomain}`, members);
    const watchers = ranked.slice(0, settings.watchersPerFailureDomain);
    return watchers.includes(incarnation);
  }

  /**
   * Watches once, or reads if a read is due; returns the delay until the next
   * call. Whether this entry is a watcher is decided anew each time, because
   * all watchers of its failure domain may have died.
   */
  async watchOrRead(): Promise<number> {
    return this.isWatcher ? await this.#watch() : await this.#readWhenDue();
  }

  /** Backs off from a platform that ends a watch early without a new version. */
  async #watch(): Promise<number> {
    const { clock, settings } = this.#options;
    const previousVersion = this.#newestVersion;
    const startedAt = clock();
    const hasSucceeded = await this.#read(true);
    const hasNewVersion = this.#newestVersion > previousVersion;
    const elapsedMilliseconds = clock() - startedAt;
    const hasEndedEarly = !hasNewVersion &&
      elapsedMilliseconds < settings.watchWaitMilliseconds / 2;
    return hasSucceeded && !hasEndedEarly ? 0 : settings.retryDelayMilliseconds;
  }

  async #readWhenDue(): Promise<number> {
    const { clock, settings } = this.#options;
    if (clock() < this.#nextReadAt) return ROLE_CHECK_INTERVAL_MILLISECONDS;
    const hasSucceeded = await this.#read(false);
    const delayMilliseconds = hasSucceeded
      ? settings.fallbackReadIntervalMilliseconds
      : settings.retryDelayMilliseconds;
    this.#nextReadAt = clock() + delayMilliseconds;
    return Math.min(delayMilliseconds, ROLE_CHECK_INTERVAL_MILLISECONDS);
  }

  /** Reads all values once, without waiting for a new version. */
  readOnce(): Promise<boolean> {
    return this.#read(false);
  }

  /**
   * Watchers read the instance list at every call and push leaving backend
   * servers to peers. The others read it only at the fallback interval, so that
   * the load on the platform does not grow with the fleet.
   */
  async readInstancesWhenDue(): Promise<void> {
    const { clock, settings } = this.#options;
    if (!this.isWatcher && clock() < this.#nextInstancesReadAt) return;
    this.#nextInstancesReadAt = clock() +
      settings.fallbackReadIntervalMilliseconds;
    await this.readInstances();
  }

  async readInstances(): Promise<void> {
    const instances = await this.#options.client.readInstances();
    if (instances.isOk()) this.#options.onInstances(instances.value);
  }

  async #read(isWatch: boolean): Promise<boolean> {
    const { client, settings, onValues } = this.#options;
    const watch = isWatch && this.#newestVersion > 0
      ? {
        after: this.#newestVersion,
        waitMilliseconds: settings.watchWaitMilliseconds,
      }
      : undefined;
    const values = await client.readValues(watch);
    this.#hasLastReadSucceeded = values.isOk();
    if (values.isErr()) {
      LOG.write("read-failed", () => ({ kind: values.error.kind }));
      return false;
    }
    this.#recordVersion(values.value);
    onValues(values.value);
    return true;
  }

  /** An older version is logged as stale; merging ignores its older rows. */
  #recordVersion(values: PlatformValues): void {
    if (values.version < this.#newestVersion) {
      LOG.write("answer-stale", () => ({
        version: values.version,
        newest: this.#newestVersion,
      }));
    }
    this.#newestVersion = Math.max(this.#newestVersion, values.version);
  }
}
