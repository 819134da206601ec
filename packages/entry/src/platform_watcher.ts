/**
 * Watches the platform for this failure domain.
 *
 * A few entries of each failure domain watch; rendezvous hashing over the
 * known entries says which, without an election. The others read seldom, as a
 * fallback, and learn changes from the mesh.
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

const ROLE_CHECK_MILLISECONDS = 1_000;
const LOG = new Logger("platform");

export class PlatformWatcher {
  readonly #options: PlatformWatcherOptions;
  #newestVersion = 0;
  #lastReadOk = false;
  #nextReadAt = 0;
  #nextInstancesAt = 0;

  constructor(options: PlatformWatcherOptions) {
    this.#options = options;
  }

  get isConnected(): boolean {
    return this.#lastReadOk;
  }

  get newestVersion(): number {
    return this.#newestVersion;
  }

  /** Whether this entry is one of its failure domain's watchers. */
  get isWatcher(): boolean {
    const { directory, incarnation, failureDomain, settings } = this.#options;
    const neighbours = directory.liveEntries()
      .filter((record) => record.failureDomain === failureDomain)
      .map((record) => record.incarnation);
    const members = new Set([...neighbours, incarnation]);
    const ranked = rankMembers(`watch ${failureDomain}`, members);
    const watchers = ranked.slice(0, settings.watchersPerFailureDomain);
    return watchers.includes(incarnation);
  }

  /**
   * One turn: a watch, or a plain read when one is due; returns the pause
   * after it. Whether this entry watches is asked anew every turn, because
   * the watchers of its failure domain may all have died.
   */
  async watchOrRead(): Promise<number> {
    return this.isWatcher ? await this.#watchTurn() : await this.#idleTurn();
  }

  /** A platform that answers a watch at once without news is not hurried. */
  async #watchTurn(): Promise<number> {
    const { clock, settings } = this.#options;
    const versionBefore = this.#newestVersion;
    const startedAt = clock();
    const isOk = await this.#read(true);
    const hasNews = this.#newestVersion > versionBefore;
    const took = clock() - startedAt;
    const isUseless = !hasNews && took < settings.watchWaitMilliseconds / 2;
    return isOk && !isUseless ? 0 : settings.retryDelayMilliseconds;
  }

  async #idleTurn(): Promise<number> {
    const { clock, settings } = this.#options;
    if (clock() < this.#nextReadAt) return ROLE_CHECK_MILLISECONDS;
    const isOk = await this.#read(false);
    const pause = isOk
      ? settings.fallbackReadIntervalMilliseconds
      : settings.retryDelayMilliseconds;
    this.#nextReadAt = clock() + pause;
    return Math.min(pause, ROLE_CHECK_MILLISECONDS);
  }

  /** Reads all values once, without waiting for news. */
  readOnce(): Promise<boolean> {
    return this.#read(false);
  }

  /**
   * Watchers read the instance list and tell the others; these read it
   * seldom, so that the platform's load does not grow with the fleet.
   */
  async readInstancesWhenDue(): Promise<void> {
    const { clock, settings } = this.#options;
    if (!this.isWatcher && clock() < this.#nextInstancesAt) return;
    this.#nextInstancesAt = clock() + settings.fallbackReadIntervalMilliseconds;
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
    this.#lastReadOk = values.isOk();
    if (values.isErr()) {
      LOG.write("read-failed", () => ({ kind: values.error.kind }));
      return false;
    }
    this.#noteVersion(values.value);
    onValues(values.value);
    return true;
  }

  /** A stale answer has an older version; its rows merge harmlessly. */
  #noteVersion(values: PlatformValues): void {
    if (values.version < this.#newestVersion) {
      LOG.write("answer-stale", () => ({
        version: values.version,
        newest: this.#newestVersion,
      }));
    }
    this.#newestVersion = Math.max(this.#newestVersion, values.version);
  }
}
