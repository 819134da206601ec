/**
 * Keeps the discovery state of an entry up to date. A few entries watch the
 * discovery service and pass its changes on; the other entries take them from
 * these peers.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { err, type Result } from "neverthrow";
import {
  comparePositions,
  type DiscoveryPosition,
  positionOf,
} from "@marigoldford/kernel/discovery_position";
import {
  type DiscoveryChange,
  type DiscoveryListing,
  DiscoveryState,
} from "@marigoldford/kernel/discovery_state";
import {
  countEvacuations,
  hasAllEvacuations,
  type ToldEvacuation,
} from "@marigoldford/kernel/evacuations";
import {
  isBehind,
  type StateProgress,
} from "@marigoldford/kernel/missing_revision";
import type { RoutingSnapshot } from "@marigoldford/kernel/routing_snapshot";
import {
  applySnapshotDifference,
  type SnapshotDifference,
} from "@marigoldford/kernel/snapshot_difference";
import {
  outageBackoffFactor,
  watcherReason,
} from "@marigoldford/kernel/watcher_selection";
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
  /** Incarnations of the live entries that may watch the service. */
  readonly eligibleWatchers: () => readonly string[];
  readonly onChange: (changes: readonly DiscoveryChange[]) => void;
  /** Called with each answer of the discovery service, to send it to peers. */
  readonly onUpdate: (update: DiscoveryUpdate) => void;
  readonly writeEvent: WriteEvent;
  readonly onServiceCall: (outcome: string) => void;
};

export type DiscoveryUpdate = {
  /** The era of both revisions, if known. */
  readonly era?: number;
  readonly baseRevision: number;
  readonly revision: number;
  readonly changes: readonly DiscoveryChange[];
  /** Number of evacuations among the changes, unless some may be missing. */
  readonly evacuationCount?: number;
  /** The snapshot that was known at the base revision. */
  readonly baseSnapshot?: RoutingSnapshot;
  /** Longest time since the service made the answer. */
  readonly ageMilliseconds: number;
  /**
   * Whether the changes are everything that exists at the revision: what is
   * missing from them is gone.
   */
  readonly isListing?: boolean;
};

/** An update as a peer tells it. */
export type PeerUpdate =
  & Omit<DiscoveryUpdate, "ageMilliseconds" | "baseSnapshot">
  & {
    readonly snapshotDifference?: SnapshotDifference;
  };

export type DiscoverySettings = {
  /** Number of entries that watch the service for the whole fleet. */
  readonly watcherCount: number;
  /** How long one watch call waits for a change. */
  readonly watchWaitMilliseconds: number;
  /** Pause after a watch that returned changes, so that further ones batch. */
  readonly batchDelayMilliseconds: number;
  /** With an older state an entry watches the service itself. */
  readonly maximumStateAgeMilliseconds: number;
  /**
   * With an older state no request is decided while the service can be asked.
   */
  readonly validityMilliseconds: number;
  /** Registrations that expired in an outage are kept this long after it. */
  readonly outageGraceMilliseconds: number;
};

/**
 * With a state older than this, registrations may have expired because servers
 * could not renew them: a registration lasts for three heartbeats, each more
 * than a second. Without an outage the state never gets this old, because an
 * entry falls back to its own watch well before.
 */
const OUTAGE_MILLISECONDS = 3_000;
/**
 * How long an entry that took over watches: until the failed watchers are no
 * longer members, or have called the service again.
 */
const ACTING_MILLISECONDS = 3_000;
const IDLE_CHECK_MILLISECONDS = 100;
/** An entry without a state serves no caller. */
const START_CHECK_MILLISECONDS = 15;
const MINIMUM_BACKOFF_MILLISECONDS = 100;
const MAXIMUM_BACKOFF_MILLISECONDS = 800;
/**
 * All watching entries notice a restored service at the same time. Their
 * listings are spread over this time, the chosen entries first, so that the
 * first listing reaches the others before they read one.
 */
const CHOSEN_SPREAD_MILLISECONDS = 100;
const ACTING_SPREAD_MILLISECONDS = 400;

type Teller = "service" | "peer";
type ReadReason = "chosen" | "news-too-old";

export class DiscoverySynchronizer {
  readonly state: DiscoveryState;
  readonly #options: DiscoverySynchronizerOptions;
  readonly #startedAtMilliseconds: number;
  #confirmedAtMilliseconds = -Infinity;
  #isStopped = false;
  #isWatching = false;
  #isServiceLost = false;
  /** Called once the state may be used. */
  #waiting: (() => void)[] = [];
  #failuresInRow = 0;
  #mustReadAll = true;
  /** How often the history was gone since a watch was answered. */
  #rereadsInRow = 0;
  /** After it has taken over, this entry watches until this time. */
  #actingUntilMilliseconds = -Infinity;

  constructor(options: DiscoverySynchronizerOptions) {
    this.#options = options;
    this.#startedAtMilliseconds = options.clock();
    this.state = new DiscoveryState(options.settings);
  }

  /** Time since the state was last known to be complete. */
  get stateAgeMilliseconds(): number {
    return this.#options.clock() - this.#confirmedAtMilliseconds;
  }

  /**
   * Whether requests may be decided by the state. An older one than is valid is
   * used only while the service does not answer.
   */
  get isUsable(): boolean {
    const { validityMilliseconds } = this.#options.settings;
    return this.#isServiceLost ||
      this.stateAgeMilliseconds <= validityMilliseconds;
  }

  /** Resolves once the state may be used, which a call of the service decides. */
  async whenUsable(): Promise<void> {
    while (!this.isUsable && !this.#isStopped) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
  }

  get progress(): StateProgress {
    return {
      ...this.state.position,
      snapshotVersion: this.state.snapshot?.version ?? 0,
    };
  }

  get freshness(): DiscoveryFreshness {
    const age = Math.round(this.stateAgeMilliseconds);
    return {
      ...this.progress,
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
    this.#releaseWaiting();
    this.#options.source.close();
  }

  /** Applies a complete listing from a peer; of an older one the snapshot. */
  applyPeerListing(listing: DiscoveryListing, ageMilliseconds: number): void {
    const order = comparePositions(positionOf(listing), this.state.position);
    if (order <= 0) this.#applySnapshots(listing.changes);
    else {
      this.#applyUpdate(
        "peer",
        () => this.state.applyListing(listing, this.#now()),
      );
    }
    if (order >= 0) this.#confirm(ageMilliseconds);
  }

  /** Applies changes from a peer; false if earlier changes are missing. */
  applyPeerUpdate(told: PeerUpdate, ageMilliseconds: number): boolean {
    const update = this.#withWholeSnapshot(told);
    if (update === undefined) return false;
    if (update.isListing) {
      this.applyPeerListing(update, ageMilliseconds);
      return true;
    }
    const { era } = positionOf(update);
    if (era !== this.state.era) {
      this.#applySnapshots(update.changes);
      return era < this.state.era;
    }
    if (update.baseRevision > this.state.revision) return false;
    const { changes, revision, baseRevision } = update;
    const evacuationsFrom = hasAllEvacuations(update) ? baseRevision : Infinity;
    this.#applyUpdate(
      "peer",
      () => this.state.apply(changes, revision, this.#now(), evacuationsFrom),
    );
    if (this.state.revision <= update.revision) this.#confirm(ageMilliseconds);
    return true;
  }

  /** Applies evacuations that a peer repeats beside its members. */
  applyPeerEvacuations(told: readonly ToldEvacuation[] = []): void {
    const changes = this.state.mergeEvacuations(told, this.#now());
    if (changes.length > 0) this.#options.onChange(changes);
  }

  /** Undefined if the difference applies to a snapshot that is not known. */
  #withWholeSnapshot(
    { snapshotDifference: difference, ...update }: PeerUpdate,
  ): Omit<PeerUpdate, "snapshotDifference"> | undefined {
    const { snapshot } = this.state;
    if (difference === undefined) return update;
    if (snapshot !== undefined && snapshot.version >= difference.version) {
      return update;
    }
    const { baseVersions } = difference;
    if (snapshot === undefined || !baseVersions.includes(snapshot.version)) {
      return undefined;
    }
    const next = applySnapshotDifference(snapshot, difference);
    const change = { kind: "snapshot", snapshot: next } as const;
    return { ...update, changes: [change, ...update.changes] };
  }

  /** Records how fresh a peer's state is; false if it is ahead of this one. */
  recordPeerFreshness(freshness: DiscoveryFreshness): boolean {
    const position = positionOf(freshness);
    const order = comparePositions(position, this.state.position);
    if (order === 0 && position.revision > 0) {
      this.#confirm(freshness.ageMilliseconds);
    }
    const { snapshotVersion = 0 } = freshness;
    return !isBehind(this.progress, { ...position, snapshotVersion });
  }

  /** Called after the process was paused, when the state may be outdated. */
  markStale(): void {
    this.#confirmedAtMilliseconds = -Infinity;
  }

  /**
   * Drops servers that did not register again in time after an outage, and adds
   * those that turned out to renew a registration that was removed before; an
   * old state does not show whether it expired. Ends evacuations that were not
   * written again in time after a restore.
   */
  settleProvisional(): void {
    const dropped = this.state.dropExpired(this.#now()).map((
      id,
    ): DiscoveryChange => ({
      kind: "gone",
      id,
      reason: "removed",
      revision: this.state.revision,
    }));
    const { maximumStateAgeMilliseconds } = this.#options.settings;
    const renewed = this.stateAgeMilliseconds <= maximumStateAgeMilliseconds
      ? this.state.applyRenewed(this.#now())
      : [];
    const ended = this.state.endExpiredEvacuations(this.#now());
    const changes = [...dropped, ...renewed, ...ended];
    if (changes.length > 0) this.#options.onChange(changes);
  }

  #now(): number {
    return this.#options.clock();
  }

  #confirm(ageMilliseconds: number): void {
    const confirmedAt = this.#now() - ageMilliseconds;
    if (confirmedAt <= this.#confirmedAtMilliseconds) return;
    this.#confirmedAtMilliseconds = confirmedAt;
    if (this.isUsable) this.#releaseWaiting();
    if (!this.#isServiceLost) return;
    const { maximumStateAgeMilliseconds } = this.#options.settings;
    if (ageMilliseconds > maximumStateAgeMilliseconds) return;
    this.#isServiceLost = false;
    this.#options.writeEvent({
      event: "discovery-regained",
      reason: "news",
      ageMilliseconds: Math.round(ageMilliseconds),
      revision: this.state.revision,
    });
  }

  /** Requests that wait until the state may be used. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  #releaseWaiting(): void {
    for (const resolve of this.#waiting.splice(0)) resolve();
  }

  #applyUpdate(from: Teller, apply: () => DiscoveryChange[]): void {
    const previous = this.state.position;
    const isFirst = previous.revision === 0;
    if (!isFirst && this.stateAgeMilliseconds > OUTAGE_MILLISECONDS) {
      this.state.recordRecovery(this.#now());
    }
    const changes = apply();
    if (!isFirst && this.state.era !== previous.era) {
      this.#logEraChange(from, previous);
    }
    if (changes.length > 0) this.#options.onChange(changes);
  }

  #logEraChange(from: Teller, previous: DiscoveryPosition): void {
    this.#options.writeEvent({
      event: "discovery-era-changed",
      from,
      ...this.state.position,
      previousEra: previous.era,
      previousRevision: previous.revision,
      ageMilliseconds: Math.round(
        Math.min(this.stateAgeMilliseconds, Number.MAX_SAFE_INTEGER),
      ),
    });
  }

  #applySnapshots(updates: readonly DiscoveryChange[]): void {
    const changes = this.state.applySnapshots(updates);
    if (changes.length > 0) this.#options.onChange(changes);
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const reason = this.#watchReason();
      this.#recordWatching(reason);
      if (reason === "not-needed") await sleep(this.#idleCheckMilliseconds());
      else await this.#readOnce(reason);
    }
  }

  #idleCheckMilliseconds(): number {
    return this.state.revision === 0
      ? START_CHECK_MILLISECONDS
      : IDLE_CHECK_MILLISECONDS;
  }

  #watchReason() {
    const { settings, self, eligibleWatchers } = this.#options;
    return watcherReason({
      self,
      eligible: eligibleWatchers(),
      isActing: this.#now() < this.#actingUntilMilliseconds,
      watcherCount: settings.watcherCount,
      hasState: this.state.revision > 0,
      uptimeMilliseconds: this.#now() - this.#startedAtMilliseconds,
      stateAgeMilliseconds: this.stateAgeMilliseconds,
      maximumStateAgeMilliseconds: settings.maximumStateAgeMilliseconds,
    });
  }

  #recordWatching(reason: ReturnType<typeof watcherReason>): void {
    const isWatching = reason !== "not-needed";
    if (isWatching === this.#isWatching) return;
    this.#isWatching = isWatching;
    this.#options.writeEvent({
      event: isWatching ? "watch-started" : "watch-stopped",
      reason,
      revision: this.state.revision,
    });
  }

  async #readOnce(reason: ReadReason): Promise<void> {
    const { settings } = this.#options;
    const base = this.state.position;
    const isFresh = this.stateAgeMilliseconds <
      settings.maximumStateAgeMilliseconds;
    // The older the state, the sooner it is confirmed or replaced.
    const waitMilliseconds = Math.max(
      0,
      Math.round(settings.watchWaitMilliseconds - this.stateAgeMilliseconds),
    );
    const { watchRevision } = this.state;
    const mustReadAll = this.#mustReadAll || base.revision === 0;
    const failure = mustReadAll || watchRevision === undefined
      ? await this.#readAll(base)
      : await this.#watch(base, watchRevision, waitMilliseconds);
    this.#options.onServiceCall(failure?.kind ?? "answered");
    if (failure !== undefined) return await this.#onFailure(failure, reason);
    const hadState = base.revision > 0;
    if (!hadState || isFresh || reason === "chosen") return;
    this.#actingUntilMilliseconds = this.#now() + ACTING_MILLISECONDS;
  }

  /**
   * An answer without an era counts as one of the current era. Peers at the
   * position before get what it changed, or all of the first of an era.
   */
  async #readAll(
    base: DiscoveryPosition,
  ): Promise<DiscoveryFailure | undefined> {
    const askedAt = this.#now();
    const answer = await this.#ask((source) => source.readAll());
    if (answer.isErr()) return answer.error;
    const ageMilliseconds = this.#now() - askedAt;
    const { era = this.state.era, revision, changes } = answer.value;
    if (era < this.state.era) {
      this.#applySnapshots(changes);
      return outdated(era);
    }
    this.#mustReadAll = false;
    const evacuationCount = countEvacuations(changes);
    const listing = { era, revision, changes, evacuationCount };
    const previous = this.state.position;
    const isSameHistory = previous.revision > 0 && era === previous.era;
    const isOvertaken = comparePositions(base, previous) < 0 &&
      comparePositions(listing, previous) < 0;
    if (isOvertaken) {
      // Peers have told later changes, so the state lacks at most evacuations.
      this.#applySnapshots(changes);
      const missed = this.state.applyEvacuations(listing, this.#now());
      if (missed.length > 0) this.#options.onChange(missed);
      this.#onSuccess({
        ...previous,
        baseRevision: previous.revision,
        changes: [],
        ageMilliseconds,
      });
      return undefined;
    }
    const isKnown = isSameHistory && revision <= previous.revision;
    const baseSnapshot = this.state.snapshot;
    const differences = isKnown || !isSameHistory
      ? []
      : this.state.changesTo(listing);
    const update: DiscoveryUpdate = isSameHistory
      ? {
        era,
        baseRevision: isKnown ? revision : previous.revision,
        revision,
        changes: differences,
        ...(this.state.hasAllEvacuations
          ? { evacuationCount: countEvacuations(differences) }
          : {}),
        baseSnapshot,
        ageMilliseconds,
      }
      : {
        ...listing,
        baseRevision: previous.revision,
        isListing: true,
        ageMilliseconds,
      };
    this.#applyUpdate(
      "service",
      () => this.state.applyListing(listing, this.#now()),
    );
    this.#onSuccess(update);
    return undefined;
  }

  async #watch(
    base: DiscoveryPosition,
    afterRevision: number,
    waitMilliseconds: number,
  ): Promise<DiscoveryFailure | undefined> {
    const { settings } = this.#options;
    const baseSnapshot = this.state.snapshot;
    const askedAt = this.#now();
    const answer = await this.#ask((source) =>
      source.watch(afterRevision, waitMilliseconds)
    );
    if (answer.isErr()) {
      const isLate = this.state.era > base.era;
      return isLate && answer.error.kind === "history-gone"
        ? undefined
        : answer.error;
    }
    this.#rereadsInRow = 0;
    const { era = base.era, changes, revision } = answer.value;
    if (era !== base.era || era !== this.state.era) {
      this.#applySnapshots(changes);
      if (era < base.era) return outdated(era);
      if (era <= this.state.era) return undefined;
      const detail = `a watch of era ${base.era} answered in era ${era}`;
      return { kind: "history-gone", detail, era };
    }
    this.#applyUpdate(
      "service",
      () => this.state.apply(changes, revision, this.#now(), afterRevision),
    );
    const baseRevision = base.revision;
    const elapsed = this.#now() - askedAt;
    // A watch without changes was answered after its wait, not before.
    const hasWaited = revision === base.revision && elapsed >= waitMilliseconds;
    this.#onSuccess({
      era,
      baseRevision,
      revision,
      changes,
      evacuationCount: countEvacuations(changes),
      baseSnapshot,
      ageMilliseconds: hasWaited ? elapsed - waitMilliseconds : elapsed,
    });
    if (changes.length > 0) await sleep(settings.batchDelayMilliseconds);
    return undefined;
  }

  /**
   * Calls the service. Nothing that it answers may end the loop: an exception
   * while an answer is read counts as a failure, after which all is read anew.
   */
  async #ask<Answer>(
    call: (
      source: DiscoverySource,
    ) => Promise<Result<Answer, DiscoveryFailure>>,
  ): Promise<Result<Answer, DiscoveryFailure>> {
    try {
      return await call(this.#options.source);
    } catch (error) {
      this.#mustReadAll = true;
      return err({ kind: "malformed", detail: `exception: ${String(error)}` });
    }
  }

  #onSuccess(update: DiscoveryUpdate): void {
    this.#failuresInRow = 0;
    this.#confirm(update.ageMilliseconds);
    this.#options.onUpdate(update);
  }

  async #onFailure(
    failure: DiscoveryFailure,
    reason: ReadReason,
  ): Promise<void> {
    if (failure.kind === "history-gone") {
      this.#mustReadAll = true;
      this.#options.writeEvent({
        event: "history-reread",
        reason: failure.detail,
        revision: this.state.revision,
      });
      this.#rereadsInRow += 1;
      await this.#awaitPeerListing(failure.era, reason);
      // After a listing the history is gone again if the service went back.
      return await this.#backOff(this.#rereadsInRow - 1);
    }
    this.#failuresInRow += 1;
    this.#recordLoss(failure);
    const { settings, self, eligibleWatchers } = this.#options;
    const factor = outageBackoffFactor({
      self,
      eligible: eligibleWatchers(),
      watcherCount: settings.watcherCount,
    });
    await this.#backOff(this.#failuresInRow, factor);
  }

  async #backOff(failuresInRow: number, factor = 1): Promise<void> {
    if (failuresInRow === 0) return;
    const doublings = Math.min(failuresInRow - 1, 4);
    const backoffMilliseconds = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      MINIMUM_BACKOFF_MILLISECONDS * 2 ** doublings,
    );
    const spread = 0.75 + this.#options.random() / 2;
    await sleep(backoffMilliseconds * factor * spread);
  }

  /** Gives peers time to send a listing of the era that has begun, if any. */
  async #awaitPeerListing(
    era: number | undefined,
    reason: ReadReason,
  ): Promise<void> {
    if (era === undefined || era <= this.state.era) return;
    const spreadMilliseconds = reason === "chosen"
      ? CHOSEN_SPREAD_MILLISECONDS
      : ACTING_SPREAD_MILLISECONDS;
    const delay = reason === "chosen" ? 0 : CHOSEN_SPREAD_MILLISECONDS;
    await sleep(delay + spreadMilliseconds * this.#options.random());
    if (this.state.era >= era) this.#mustReadAll = false;
  }

  #recordLoss(failure: DiscoveryFailure): void {
    if (this.#isServiceLost) return;
    this.#isServiceLost = true;
    this.#releaseWaiting();
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

function outdated(era: number): DiscoveryFailure {
  return { kind: "outdated", detail: `an answer of era ${era}`, era };
}
