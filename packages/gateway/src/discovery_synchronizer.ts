/**
 * Keeps the discovery state of an entry complete: from the discovery service
 * if this entry watches it, else from the peers that do.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type DiscoveryChange,
  type DiscoveryListing,
  DiscoveryState,
} from "@marigoldford/kernel/discovery_state";
import { watcherReason } from "@marigoldford/kernel/watcher_selection";
import type { Clock, RandomSource } from "@marigoldford/kernel/types";
import type { DiscoveryFailure, DiscoverySource } from "./discovery_source.ts";
import type { WriteEvent } from "./events.ts";
import type { DiscoveryFreshness } from "./fleet_messages.ts";

export type DiscoverySynchronizerOptions = {
  readonly source: DiscoverySource;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: DiscoverySettings;
  readonly self: string;
  /** Incarnations of live entries that may watch. */
  readonly eligibleWatchers: () => readonly string[];
  readonly onChange: (changes: readonly DiscoveryChange[]) => void;
  /** Tells peers what the service has just answered. */
  readonly onUpdate: (answer: DiscoveryUpdate) => void;
  readonly writeEvent: WriteEvent;
  readonly onServiceCall: (outcome: string) => void;
};

export type DiscoveryUpdate = {
  readonly baseRevision: number;
  readonly revision: number;
  readonly changes: readonly DiscoveryChange[];
};

export type DiscoverySettings = {
  /** Entries that watch for the whole fleet. */
  readonly watcherCount: number;
  /** How long one watch waits for a change. */
  readonly watchWaitMilliseconds: number;
  /** Pause after a watch that brought changes, to gather the next ones. */
  readonly batchDelayMilliseconds: number;
  /** Older news makes an entry watch by itself. */
  readonly maximumStateAgeMilliseconds: number;
  /** Registrations that expired in an outage are kept this long after it. */
  readonly outageGraceMilliseconds: number;
};

/**
 * Without news for this long, registrations may have expired meanwhile: they
 * last for three heartbeats of more than a second. An entry that falls back on
 * its own watch has news again well before.
 */
const OUTAGE_MILLISECONDS = 3_000;
const IDLE_CHECK_MILLISECONDS = 50;
const BACK_OFF_START_MILLISECONDS = 100;
const BACK_OFF_LIMIT_MILLISECONDS = 800;
/** Entries whose news is old begin to watch at different moments. */
const STAGGER_MILLISECONDS = 200;

export class DiscoverySynchronizer {
  readonly state: DiscoveryState;
  readonly #options: DiscoverySynchronizerOptions;
  readonly #stagger: number;
  #confirmedAtMilliseconds = -Infinity;
  #isStopped = false;
  #isWatching = false;
  #isLost = false;
  #failures = 0;
  #mustReread = true;
  /** Refused lately; another entry watches better. */
  #refusedUntilMilliseconds = -Infinity;

  constructor(options: DiscoverySynchronizerOptions) {
    this.#options = options;
    this.#stagger = options.random() * STAGGER_MILLISECONDS;
    this.state = new DiscoveryState(options.settings);
  }

  /** Time since the state was known to be complete. */
  get stateAgeMilliseconds(): number {
    return this.#options.clock() - this.#confirmedAtMilliseconds;
  }

  get freshness(): DiscoveryFreshness {
    const age = Math.round(this.stateAgeMilliseconds);
    return {
      revision: this.state.revision,
      ageMilliseconds: Number.isFinite(age) ? age : Number.MAX_SAFE_INTEGER,
    };
  }

  get isWatching(): boolean {
    return this.#isWatching;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
    this.#options.source.close();
  }

  /** Takes a complete reading from a peer. */
  applyPeerListing(reading: DiscoveryListing, ageMilliseconds: number): void {
    if (reading.revision <= this.state.revision) return;
    this.#takeAnswer(() => this.state.applyListing(reading, this.#now()));
    this.#confirm(ageMilliseconds);
  }

  /** Takes changes from a peer; false if others before them are missing. */
  applyPeerUpdate(answer: DiscoveryUpdate, ageMilliseconds: number): boolean {
    if (answer.baseRevision > this.state.revision) return false;
    this.#takeAnswer(() =>
      this.state.apply(answer.changes, answer.revision, this.#now())
    );
    if (this.state.revision <= answer.revision) this.#confirm(ageMilliseconds);
    return true;
  }

  /** Takes word of a peer's state; false if that peer knows more. */
  recordPeerFreshness(news: DiscoveryFreshness): boolean {
    if (news.revision > this.state.revision) return false;
    if (news.revision === this.state.revision) {
      this.#confirm(news.ageMilliseconds);
    }
    return true;
  }

  /** After a pause of the process nothing believed is fresh. */
  markStale(): void {
    this.#confirmedAtMilliseconds = -Infinity;
  }

  /** Drops records that did not return in time. */
  dropExpired(): void {
    const dropped = this.state.dropExpired(this.#now());
    if (dropped.length === 0) return;
    this.#options.onChange(
      dropped.map((id) => ({
        kind: "gone",
        id,
        reason: "removed",
        revision: this.state.revision,
      })),
    );
  }

  #now(): number {
    return this.#options.clock();
  }

  #confirm(ageMilliseconds: number): void {
    const at = this.#now() - ageMilliseconds;
    if (at <= this.#confirmedAtMilliseconds) return;
    this.#confirmedAtMilliseconds = at;
    if (!this.#isLost) return;
    const { maximumStateAgeMilliseconds: maximumStateAgeMilliseconds } =
      this.#options.settings;
    if (ageMilliseconds > maximumStateAgeMilliseconds) return;
    this.#isLost = false;
    this.#options.writeEvent({
      event: "discovery-regained",
      reason: "news",
      ageMilliseconds: Math.round(ageMilliseconds),
      revision: this.state.revision,
    });
  }

  #takeAnswer(take: () => DiscoveryChange[]): void {
    const isFirst = this.state.revision === 0;
    if (!isFirst && this.stateAgeMilliseconds > OUTAGE_MILLISECONDS) {
      this.state.recordRecovery(this.#now());
    }
    const changes = take();
    if (changes.length > 0) this.#options.onChange(changes);
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const reason = this.#reason();
      this.#noteWatching(reason);
      if (reason === "not-needed") await sleep(IDLE_CHECK_MILLISECONDS);
      else await this.#readOnce();
    }
  }

  #reason() {
    const { settings, self, eligibleWatchers: eligibleWatchers } =
      this.#options;
    const isRefused = this.#now() < this.#refusedUntilMilliseconds;
    return watcherReason({
      self,
      eligible: isRefused
        ? eligibleWatchers().filter((member) => member !== self)
        : eligibleWatchers(),
      watcherCount: settings.watcherCount,
      stateAgeMilliseconds: this.stateAgeMilliseconds,
      maximumStateAgeMilliseconds: settings.maximumStateAgeMilliseconds +
        this.#stagger,
    });
  }

  #noteWatching(reason: ReturnType<typeof watcherReason>): void {
    const isWatching = reason !== "not-needed";
    if (isWatching === this.#isWatching) return;
    this.#isWatching = isWatching;
    this.#options.writeEvent({
      event: isWatching ? "watch-started" : "watch-stopped",
      reason,
      revision: this.state.revision,
    });
  }

  async #readOnce(): Promise<void> {
    const baseRevision = this.state.revision;
    const failure = this.#mustReread || baseRevision === 0
      ? await this.#readAll(baseRevision)
      : await this.#watch(baseRevision);
    this.#options.onServiceCall(failure?.kind ?? "answered");
    if (failure !== undefined) await this.#onFailure(failure);
  }

  async #readAll(
    baseRevision: number,
  ): Promise<DiscoveryFailure | undefined> {
    const reading = await this.#options.source.readAll();
    if (reading.isErr()) return reading.error;
    this.#mustReread = false;
    this.#takeAnswer(() => this.state.applyListing(reading.value, this.#now()));
    this.#onSuccess({ baseRevision, ...reading.value });
    return undefined;
  }

  async #watch(baseRevision: number): Promise<DiscoveryFailure | undefined> {
    const { source, settings } = this.#options;
    const answer = await source.watch(
      baseRevision,
      settings.watchWaitMilliseconds,
    );
    if (answer.isErr()) return answer.error;
    const { changes, revision } = answer.value;
    this.#takeAnswer(() => this.state.apply(changes, revision, this.#now()));
    this.#onSuccess({ baseRevision, revision, changes });
    if (changes.length > 0) await sleep(settings.batchDelayMilliseconds);
    return undefined;
  }

  #onSuccess(answer: DiscoveryUpdate): void {
    this.#failures = 0;
    this.#confirm(0);
    this.#options.onUpdate(answer);
  }

  async #onFailure(failure: DiscoveryFailure): Promise<void> {
    if (failure.kind === "history-gone") {
      this.#mustReread = true;
      this.#options.writeEvent({
        event: "history-reread",
        reason: failure.detail,
        revision: this.state.revision,
      });
      return;
    }
    this.#failures += 1;
    this.#noteLost(failure);
    const step = Math.min(this.#failures - 1, 4);
    const pause = Math.min(
      BACK_OFF_LIMIT_MILLISECONDS,
      BACK_OFF_START_MILLISECONDS * 2 ** step,
    );
    this.#refusedUntilMilliseconds = this.#now() + 4 * pause;
    await sleep(pause * (0.75 + this.#options.random() / 2));
  }

  #noteLost(failure: DiscoveryFailure): void {
    if (this.#isLost) return;
    this.#isLost = true;
    this.#options.writeEvent({
      event: "discovery-lost",
      reason: `${failure.kind}: ${failure.detail}`,
      ageMilliseconds: Math.round(
        Math.min(this.stateAgeMilliseconds, Number.MAX_SAFE_INTEGER),
      ),
      revision: this.state.revision,
    });
  }
}
