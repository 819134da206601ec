/**
 * Plays a fleet, its servers and an operator beside a discovery service that
 * is restored from older copies at random moments, with messages between the
 * entries that arrive late, out of order or not at all. Timers are fakes, and a
 * seed gives each play.
 */
import { err, ok, type Result } from "neverthrow";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import { MissingRevision } from "@marigoldford/kernel/missing_revision";
import type { RandomSource } from "@marigoldford/kernel/types";
import type { RoutingSnapshot } from "@marigoldford/kernel/routing_snapshot";
import {
  DiscoverySynchronizer,
  type DiscoveryUpdate,
} from "./discovery_synchronizer.ts";
import type { DiscoveryFailure, DiscoverySource } from "./discovery_source.ts";

// Vitest's fake timers do not cover node:timers/promises.
vi.mock("node:timers/promises", () => ({
  setTimeout: (milliseconds: number) =>
    new Promise((resolve) => setTimeout(resolve, milliseconds)),
}));

const SEEDS = [1, 2, 3, 4, 5, 104, 118, 183];
const ENTRIES = 8;
const SERVERS = 12;
const STEP_MILLISECONDS = 50;
const DISTURBED_MILLISECONDS = 30_000;
/** Longer than a lease, the grace period and a withheld registration. */
const CALM_MILLISECONDS = 12_000;
const HEARTBEAT_MILLISECONDS = 1_500;
const LEASE_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;
/** Within this time an acknowledged change is in force while all is calm. */
const EFFECT_MILLISECONDS = 2_000;
const SETTLE_MILLISECONDS = 3_000;

const SETTINGS = {
  watcherCount: 2,
  watchWaitMilliseconds: 1_000,
  batchDelayMilliseconds: 200,
  maximumStateAgeMilliseconds: 1_250,
  validityMilliseconds: 1_600,
  outageGraceMilliseconds: 2_300,
};

function makeRandom(seed: number): RandomSource {
  let state = seed * 2_654_435_769 >>> 0;
  return () => {
    state = state + 0x6d2b79f5 >>> 0;
    let mixed = Math.imul(state ^ state >>> 15, 1 | state);
    mixed = mixed + Math.imul(mixed ^ mixed >>> 7, 61 | mixed) ^ mixed;
    return ((mixed ^ mixed >>> 14) >>> 0) / 2 ** 32;
  };
}

function makeSnapshot(version: number): RoutingSnapshot {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
}

type Server = {
  readonly id: string;
  born: number;
  sequence: number;
  state: "ready" | "draining" | "gone";
  nextHeartbeatAt: number;
};

type Item = {
  readonly change: Extract<DiscoveryChange, { kind: "registration" }>;
  readonly renewedAt: number;
};

type Contents = {
  readonly at: number;
  readonly revision: number;
  readonly version: number;
  readonly items: ReadonlyMap<string, Item>;
  readonly events: readonly (readonly [number, DiscoveryChange])[];
};

class RestorableService {
  era = 1;
  isUp = true;
  calls = 0;
  version = 0;
  items = new Map<string, Item>();
  #revision = 1;
  #events: (readonly [number, DiscoveryChange])[] = [];
  #copies: Contents[] = [];

  publish(version: number): void {
    this.#revision += 1;
    this.version = version;
    const snapshot = makeSnapshot(version);
    this.#events.push([this.#revision, { kind: "snapshot", snapshot }]);
  }

  /** Writes an item only if more than its sequence changes. */
  register(server: Server): void {
    const { id, born, sequence, state } = server;
    if (state === "gone") return;
    const known = this.items.get(id);
    const renewedAt = Date.now();
    const previous = known?.change.registration;
    if (
      known !== undefined && previous?.state === state &&
      previous.bornAtMilliseconds === born
    ) {
      this.items.set(id, { ...known, renewedAt });
      return;
    }
    this.#revision += 1;
    const change = {
      kind: "registration",
      revision: this.#revision,
      registration: {
        id,
        service: "web",
        address: "10.0.0.1:80",
        failureDomain: "a",
        slots: 2,
        state,
        warmUpLeftMilliseconds: 0,
        bornAtMilliseconds: born,
        sequence,
      },
    } as const;
    this.items.set(id, { change, renewedAt });
    this.#events.push([this.#revision, change]);
  }

  remove(id: string): void {
    if (!this.items.delete(id)) return;
    this.#revision += 1;
    const revision = this.#revision;
    this.#events.push([
      revision,
      { kind: "gone", id, revision, reason: "removed" },
    ]);
  }

  expireItems(): void {
    for (const [id, { renewedAt }] of this.items) {
      if (Date.now() - renewedAt > LEASE_MILLISECONDS) this.remove(id);
    }
  }

  copy(): void {
    this.#copies.push({
      at: Date.now(),
      revision: this.#revision,
      version: this.version,
      items: new Map(this.items),
      events: [...this.#events],
    });
  }

  /** Comes back from a copy of that age. */
  restore(ageMilliseconds: number): void {
    const until = Date.now() - ageMilliseconds;
    const copies = this.#copies.filter(({ at }) => at <= until);
    const copy = copies.at(-1) ?? this.#copies[0];
    this.era += 1;
    this.isUp = true;
    this.version = copy.version;
    this.#revision = copy.revision;
    this.#events = [...copy.events];
    this.items = new Map();
    for (const [id, { change }] of copy.items) {
      this.items.set(id, { change, renewedAt: Date.now() });
    }
    this.#copies = this.#copies.filter(({ at }) => at <= copy.at);
  }

  source(latency: () => number): DiscoverySource {
    const answer = async <Value>(
      make: () => Result<Value, DiscoveryFailure>,
    ): Promise<Result<Value, DiscoveryFailure>> => {
      this.calls += 1;
      await wait(latency());
      if (!this.isUp) return err({ kind: "unreachable", detail: "down" });
      const made = make();
      await wait(latency());
      return made;
    };
    return {
      readAll: () => answer(() => ok(this.#listing())),
      watch: async (after, waitMilliseconds) => {
        const until = Date.now() + waitMilliseconds;
        const { era } = this;
        const isSame = () => this.isUp && this.era === era;
        while (this.#revision === after && isSame() && Date.now() < until) {
          await wait(10);
        }
        // A watch that waited is cut with the service.
        if (!isSame()) return err({ kind: "unreachable", detail: "cut" });
        return await answer(() => this.#eventsAfter(after));
      },
      close: () => {},
    };
  }

  #listing() {
    const changes: DiscoveryChange[] = [];
    if (this.version > 0) {
      changes.push({ kind: "snapshot", snapshot: makeSnapshot(this.version) });
    }
    for (const { change } of this.items.values()) changes.push(change);
    return { era: this.era, revision: this.#revision, changes };
  }

  #eventsAfter(after: number) {
    const { era } = this;
    if (after > this.#revision) {
      const detail = "not given out";
      return err<never, DiscoveryFailure>({
        kind: "history-gone",
        detail,
        era,
      });
    }
    const changes = this.#events.filter(([revision]) => revision > after)
      .map(([, change]) => change);
    return ok({ era, revision: this.#revision, changes });
  }
}

const wait = (milliseconds: number) =>
  new Promise<void>((resolve) => setTimeout(resolve, milliseconds));

type Entry = {
  readonly synchronizer: DiscoverySynchronizer;
  readonly missing: MissingRevision;
  /** The highest version that was in force here. */
  version: number;
  /** Runs of servers that this entry has used. */
  readonly used: Set<string>;
  /** Runs that it used and then knew as draining or gone. */
  readonly left: Set<string>;
};

function keyOf({ id, born }: { id: string; born: number }): string {
  return `${id} ${born}`;
}

class Play {
  readonly service = new RestorableService();
  readonly servers: Server[] = [];
  readonly entries: Entry[] = [];
  readonly faults: string[] = [];
  readonly #random: RandomSource;
  #newestVersion = 1;
  #publishedAt = 0;
  #disturbedAt = 0;
  #writeAgainAt = Infinity;
  #upAt = Infinity;
  #restoreAge = 0;

  constructor(seed: number) {
    this.#random = makeRandom(seed);
    this.service.publish(1);
    for (let index = 0; index < SERVERS; index++) this.#startServer();
    this.service.copy();
    for (let index = 0; index < ENTRIES; index++) this.#startEntry();
  }

  stop(): void {
    for (const { synchronizer } of this.entries) synchronizer.stop();
  }

  async run(milliseconds: number, isDisturbed: boolean): Promise<void> {
    const until = Date.now() + milliseconds;
    while (Date.now() < until) {
      if (isDisturbed) this.#disturb();
      this.#keepUp();
      await vi.advanceTimersByTimeAsync(STEP_MILLISECONDS);
      for (const entry of this.entries) this.#check(entry);
    }
  }

  #chance(perSecond: number): boolean {
    return this.#random() < perSecond * STEP_MILLISECONDS / 1_000;
  }

  #startServer(): void {
    const server: Server = {
      id: `server-${this.servers.length}`,
      born: Date.now(),
      sequence: 1,
      state: "ready",
      nextHeartbeatAt: Date.now() + this.#random() * HEARTBEAT_MILLISECONDS,
    };
    this.servers.push(server);
    if (this.service.isUp) this.service.register(server);
  }

  #startEntry(): void {
    const self = `entry-${this.entries.length}`;
    const synchronizer = new DiscoverySynchronizer({
      source: this.service.source(() => 1 + this.#random() * 20),
      clock: () => Date.now(),
      random: this.#random,
      settings: SETTINGS,
      self,
      eligibleWatchers: () => this.entries.map((_, index) => `entry-${index}`),
      onChange: () => {},
      onUpdate: (update) => this.#sendUpdate(self, update),
      writeEvent: () => {},
      onServiceCall: () => {},
    });
    this.entries.push({
      synchronizer,
      missing: new MissingRevision(() => Date.now()),
      version: 0,
      used: new Set(),
      left: new Set(),
    });
    synchronizer.start();
  }

  /** Updates and news arrive late, at times out of order; news get lost. */
  #sendUpdate(from: string, update: DiscoveryUpdate): void {
    const sender = this.entries[Number(from.slice("entry-".length))];
    const news = sender.synchronizer.freshness;
    this.entries.forEach((entry) => {
      if (entry === sender) return;
      const delay = this.#random() < 0.1 ? 400 : 20 * this.#random();
      if (update.changes.length > 0) {
        setTimeout(
          () => this.#receiveUpdate(entry, sender, update, delay),
          delay,
        );
      } else if (this.#random() > 0.1) {
        setTimeout(() => {
          const ageMilliseconds = news.ageMilliseconds + delay;
          const told = { ...news, ageMilliseconds };
          if (entry.synchronizer.recordPeerFreshness(told)) return;
          this.#requestListing(entry, sender, {
            era: news.era ?? 0,
            revision: news.revision,
            snapshotVersion: news.snapshotVersion ?? 0,
          });
        }, delay);
      }
    });
  }

  #receiveUpdate(
    entry: Entry,
    sender: Entry,
    update: DiscoveryUpdate,
    age: number,
  ): void {
    if (entry.synchronizer.applyPeerUpdate(update, age)) return;
    const { era = 0, revision } = update;
    this.#requestListing(entry, sender, { era, revision, snapshotVersion: 0 });
  }

  #requestListing(
    { synchronizer, missing }: Entry,
    peer: Entry,
    progress: Parameters<MissingRevision["mustRequest"]>[0],
  ): void {
    if (!missing.mustRequest(progress, synchronizer.progress)) return;
    const listing = peer.synchronizer.state.listing(Date.now());
    const { ageMilliseconds } = peer.synchronizer.freshness;
    setTimeout(
      () => synchronizer.applyPeerListing(listing, ageMilliseconds + 10),
      10,
    );
  }

  #disturb(): void {
    const { service } = this;
    if (service.isUp && this.#chance(0.15)) {
      service.isUp = false;
      this.#disturbedAt = Date.now();
      this.#upAt = Date.now() + 200 + this.#random() * 2_500;
      this.#restoreAge = this.#random() * 9_000;
    }
    if (!service.isUp) return;
    if (this.#chance(0.3)) {
      this.#newestVersion += 1 + Math.floor(this.#random() * 3);
      this.#publishedAt = Date.now();
      service.publish(this.#newestVersion);
    }
    if (this.#chance(0.4)) this.#startServer();
    if (this.#chance(0.4)) this.#stopServer();
    if (this.entries.length < 2 * ENTRIES && this.#chance(0.2)) {
      this.#startEntry();
    }
  }

  /** A server drains, is removed without draining, or starts once more. */
  #stopServer(): void {
    const ready = this.servers.filter(({ state }) => state === "ready");
    if (ready.length <= SERVERS / 2) return;
    const server = ready[Math.floor(this.#random() * ready.length)];
    const way = this.#random();
    server.sequence += 1;
    if (way < 0.4) {
      server.state = "draining";
      this.service.register(server);
      return;
    }
    server.state = "gone";
    this.service.remove(server.id);
    if (way < 0.7) return;
    setTimeout(() => {
      server.state = "ready";
      server.born = Date.now();
      server.sequence = 1;
      if (this.service.isUp) this.service.register(server);
    }, 1_000);
  }

  #keepUp(): void {
    const { service } = this;
    const now = Date.now();
    for (const server of this.servers) {
      if (now < server.nextHeartbeatAt || server.state === "gone") continue;
      server.nextHeartbeatAt = now + HEARTBEAT_MILLISECONDS;
      server.sequence += 1;
      if (service.isUp) service.register(server);
    }
    if (!service.isUp && now >= this.#upAt) {
      service.restore(this.#restoreAge);
      this.#disturbedAt = now;
      this.#writeAgainAt = now + this.#random() * 1_500;
    }
    if (!service.isUp) return;
    if (now >= this.#writeAgainAt) {
      this.#writeAgainAt = Infinity;
      if (service.version < this.#newestVersion) {
        service.publish(this.#newestVersion);
      }
    }
    service.expireItems();
    service.copy();
  }

  #check(entry: Entry): void {
    const { state } = entry.synchronizer;
    entry.synchronizer.settleProvisional();
    const now = Date.now();
    const version = state.snapshot?.version ?? 0;
    if (version < entry.version) this.faults.push(`${now}: version went back`);
    entry.version = Math.max(entry.version, version);
    const calmAt = Math.max(this.#publishedAt, this.#disturbedAt);
    const isCalm = now - this.#disturbedAt > SETTLE_MILLISECONDS &&
      now - calmAt > EFFECT_MILLISECONDS && this.service.isUp;
    if (isCalm && version > 0 && version < this.#newestVersion) {
      this.faults.push(`${now}: version ${version} of ${this.#newestVersion}`);
    }
    this.#checkServers(entry, now);
  }

  /** What an entry knew as draining or gone it does not use again. */
  #checkServers({ synchronizer, used, left }: Entry, now: number): void {
    const { records } = synchronizer.state;
    for (const server of this.servers) {
      const key = keyOf(server);
      const registration = records.get(server.id)?.registration;
      const isUsed = registration?.state === "ready" &&
        registration.bornAtMilliseconds === server.born;
      if (isUsed) used.add(key);
      if (server.state === "ready") continue;
      if (!isUsed && used.has(key)) left.add(key);
      if (isUsed && left.has(key)) {
        this.faults.push(`${now}: ${key} is used again`);
      }
    }
  }
}

beforeEach(() => vi.useFakeTimers({ now: 1_000_000 }));
afterEach(() => vi.useRealTimers());

for (const seed of SEEDS) {
  it(`a fleet follows a service that goes back (seed ${seed})`, async () => {
    const play = new Play(seed);
    await play.run(4_000, false);
    await play.run(DISTURBED_MILLISECONDS, true);
    await play.run(CALM_MILLISECONDS, false);
    const ready = play.servers.filter(({ state }) => state === "ready")
      .map(({ id }) => id).sort();
    for (const { synchronizer } of play.entries) {
      const { records, position } = synchronizer.state;
      const used = [...records.values()].map(({ registration }) => registration)
        .filter(({ state }) => state === "ready").map(({ id }) => id).sort();
      expect(used).toEqual(ready);
      expect(position).toEqual(play.entries[0].synchronizer.state.position);
    }
    expect(play.faults).toEqual([]);
    play.stop();
  });
}
