/**
 * Tests that an entry keeps its discovery state through refusals, outages, a
 * lost history of the service and its return from a copy, and calls the service
 * itself when its peers no longer send updates. Timers and the discovery
 * service are fakes.
 */
import { err, ok, type Result } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { DiscoveryChange } from "@marigoldford/kernel/discovery_state";
import { rankMembers } from "@marigoldford/kernel/rendezvous";
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

type Behaviour = DiscoveryFailure["kind"] | "answering";

/** A service that answers after 4 ms and whose revision the test sets. */
class FakeService implements DiscoverySource {
  behaviour: Behaviour = "answering";
  calls = 0;
  reads = 0;
  revision = 1;
  era: number | undefined;
  changes: DiscoveryChange[] = [];

  async readAll() {
    this.reads += 1;
    return await this.#answer(4, () => ({
      era: this.era,
      revision: this.revision,
      changes: this.changes,
    }));
  }

  async watch(after: number, wait: number) {
    if (after > this.revision) return await this.#historyGone();
    const hasChanges = () => this.revision > after;
    for (let waited = 0; waited < wait && !hasChanges(); waited += 20) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      if (this.behaviour !== "answering") break;
    }
    if (after > this.revision) return await this.#historyGone();
    return await this.#answer(4, () => ({
      era: this.era,
      revision: this.revision,
      changes: hasChanges() ? this.changes : [],
    }));
  }

  close(): void {}

  async #historyGone(): Promise<Result<never, DiscoveryFailure>> {
    this.calls += 1;
    await new Promise((resolve) => setTimeout(resolve, 4));
    return err({ kind: "history-gone", detail: "beyond the last revision" });
  }

  async #answer<Value>(
    milliseconds: number,
    make: () => Value,
  ): Promise<Result<Value, DiscoveryFailure>> {
    this.calls += 1;
    await new Promise((resolve) => setTimeout(resolve, milliseconds));
    if (this.behaviour === "answering") return ok(make());
    return err({ kind: this.behaviour, detail: "set to fail by the test" });
  }
}

function registration(id: string, revision: number): DiscoveryChange {
  return {
    kind: "registration",
    revision,
    registration: {
      id,
      service: "web",
      address: "10.0.0.1:80",
      failureDomain: "a",
      slots: 2,
      state: "ready",
      warmUpLeftMilliseconds: 0,
      bornAtMilliseconds: 1,
      sequence: revision,
    },
  };
}

const SETTINGS = {
  watcherCount: 2,
  watchWaitMilliseconds: 1_000,
  batchDelayMilliseconds: 200,
  maximumStateAgeMilliseconds: 1_250,
  validityMilliseconds: 1_600,
  outageGraceMilliseconds: 2_300,
};

/** Entries that send each other what the service answers, without delay. */
function setUpFleet(names: readonly string[]) {
  const service = new FakeService();
  service.changes = [registration("one", 1)];
  const synchronizers: DiscoverySynchronizer[] = [];
  for (const self of names) {
    const synchronizer: DiscoverySynchronizer = new DiscoverySynchronizer({
      source: service,
      clock: () => Date.now(),
      random: () => 0.5,
      settings: SETTINGS,
      self,
      eligibleWatchers: () => names,
      onChange: () => {},
      onUpdate: (update) => {
        const peers = synchronizers.filter((peer) => peer !== synchronizer);
        for (const peer of peers) {
          if (update.changes.length > 0) {
            peer.applyPeerUpdate(update, update.ageMilliseconds);
          } else peer.recordPeerFreshness(synchronizer.freshness);
        }
      },
      writeEvent: () => {},
      onServiceCall: () => {},
    });
    synchronizers.push(synchronizer);
  }
  for (const synchronizer of synchronizers) synchronizer.start();
  return { service, synchronizers };
}

function setUp(members: readonly string[] = ["self"]) {
  const service = new FakeService();
  service.changes = [registration("one", 1)];
  const updates: DiscoveryUpdate[] = [];
  const events: string[] = [];
  const synchronizer = new DiscoverySynchronizer({
    source: service,
    clock: () => Date.now(),
    random: () => 0.5,
    settings: SETTINGS,
    self: members[0],
    eligibleWatchers: () => members,
    onChange: () => {},
    onUpdate: (update) => updates.push(update),
    writeEvent: ({ event }) => events.push(event),
    onServiceCall: () => {},
  });
  return { service, synchronizer, updates, events };
}

/** A starting entry learns of its peers before it calls the service. */
const START_MILLISECONDS = 500;

const advance = (milliseconds: number) =>
  vi.advanceTimersByTimeAsync(milliseconds);

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

describe("the age of a state", () => {
  it("counts from the wait of a watch that brought no change", async () => {
    const { synchronizer, updates } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS + 1_100);
    const { changes, ageMilliseconds } = updates.at(-1)!;
    expect(changes).toEqual([]);
    expect(ageMilliseconds).toBeLessThan(50);
    synchronizer.stop();
  });

  it("counts from the call of a watch that brought changes", async () => {
    const { service, synchronizer, updates } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.revision = 2;
    await advance(30);
    const { revision, ageMilliseconds } = updates.at(-1)!;
    expect(revision).toBe(2);
    expect(ageMilliseconds).toBeGreaterThan(300);
    expect(synchronizer.stateAgeMilliseconds).toBeGreaterThan(300);
    synchronizer.stop();
  });

  it("never passes its limit at an entry that watches", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    for (let step = 0; step < 400; step++) {
      if (step % 37 === 0) service.revision += 1;
      await advance(25);
      expect(synchronizer.stateAgeMilliseconds).toBeLessThan(
        SETTINGS.maximumStateAgeMilliseconds,
      );
    }
    expect(service.calls).toBeLessThan(35);
    synchronizer.stop();
  });
});

describe("a state that is too old to decide requests by", () => {
  /** Lets the clock run on without any timer, as in a busy process. */
  const stall = (milliseconds: number) =>
    vi.setSystemTime(Date.now() + milliseconds);

  it("is not used until the service has answered", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    expect(synchronizer.isUsable).toBe(true);
    stall(SETTINGS.validityMilliseconds + 100);
    service.revision = 2;
    service.changes = [registration("two", 2)];
    expect(synchronizer.isUsable).toBe(false);
    const known = synchronizer.whenUsable().then(() =>
      synchronizer.state.records.has("two")
    );
    await advance(1_100);
    expect(await known).toBe(true);
    synchronizer.stop();
  });

  it("is used while the service does not answer", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.behaviour = "timed-out";
    stall(SETTINGS.validityMilliseconds + 100);
    const usable = vi.fn();
    void synchronizer.whenUsable().then(usable);
    await advance(1_100);
    expect(usable).toBeCalled();
    await advance(10_000);
    expect(synchronizer.isUsable).toBe(true);
    service.behaviour = "answering";
    await advance(2_000);
    expect(synchronizer.stateAgeMilliseconds).toBeLessThan(1_250);
    synchronizer.stop();
  });
});

describe("an entry that watches", () => {
  it("lists once and then passes on the changes of each watch", async () => {
    const { service, synchronizer, updates } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    expect(synchronizer.state.records.has("one")).toBe(true);
    service.revision = 2;
    service.changes = [registration("two", 2)];
    await advance(100);
    expect(updates.at(-1)).toMatchObject({ baseRevision: 1, revision: 2 });
    expect(service.reads).toBe(1);
    synchronizer.stop();
  });

  it("calls a service without changes about once a second", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(10_000);
    expect(service.calls).toBeLessThanOrEqual(12);
    synchronizer.stop();
  });

  it("lists everything again when the history is gone", async () => {
    const { service, synchronizer, events } = setUp();
    synchronizer.start();
    await advance(3_000);
    service.behaviour = "history-gone";
    await advance(100);
    service.behaviour = "answering";
    service.revision = 9;
    service.changes = [registration("two", 8)];
    await advance(1_000);
    expect([...synchronizer.state.records.keys()]).toEqual(["two"]);
    expect(events).toContain("history-reread");
    synchronizer.stop();
  });

  it("does not send peers what they know once the history is gone", async () => {
    const { service, synchronizer, updates } = setUp();
    const known = ["one", "two", "three"].map((id) => registration(id, 1));
    service.changes = known;
    synchronizer.start();
    await advance(3_000);
    service.behaviour = "history-gone";
    await advance(100);
    updates.length = 0;
    service.behaviour = "answering";
    service.revision = 9;
    service.changes = [...known, registration("four", 8)];
    await advance(1_000);
    expect(synchronizer.state.records.size).toBe(4);
    const sent = updates.flatMap(({ changes }) => changes);
    expect(sent.length).toBeLessThanOrEqual(1);
    synchronizer.stop();
  });

  it("leaves no gap for peers when a change arrives while it reads anew", async () => {
    const { service, synchronizer, updates } = setUp();
    service.changes = [registration("one", 1)];
    synchronizer.start();
    await advance(3_000);
    service.behaviour = "history-gone";
    await advance(100);
    updates.length = 0;
    service.behaviour = "answering";
    const three = registration("three", 5);
    service.revision = 9;
    service.changes = [registration("one", 1), three, registration("four", 8)];
    const reads = service.reads;
    while (service.reads === reads) await advance(1);
    synchronizer.applyPeerUpdate({
      baseRevision: 1,
      revision: 5,
      changes: [three],
    }, 0);
    await advance(1_000);
    expect(synchronizer.state.revision).toBe(9);
    const [update] = updates.filter(({ revision }) => revision === 9);
    expect(update.changes.includes(three) || update.baseRevision >= 5)
      .toBe(true);
    synchronizer.stop();
  });

  it("tells peers which servers expired in an outage with the history", async () => {
    const { service, synchronizer, updates } = setUp();
    service.changes = [registration("one", 1), registration("two", 1)];
    synchronizer.start();
    await advance(3_000);
    service.behaviour = "unreachable";
    await advance(6_000);
    service.behaviour = "history-gone";
    await advance(500);
    updates.length = 0;
    service.behaviour = "answering";
    service.revision = 9;
    service.changes = [registration("one", 1)];
    await advance(1_000);
    expect([...synchronizer.state.records.keys()]).toContain("two");
    const sent = updates.flatMap(({ changes }) => changes);
    expect(sent).toContainEqual(
      expect.objectContaining({ kind: "gone", id: "two" }),
    );
    synchronizer.stop();
  });

  it("does not bring back a server whose removal a peer told meanwhile", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(3_000);
    service.behaviour = "history-gone";
    await advance(100);
    service.behaviour = "answering";
    const listing = { era: undefined, revision: 1, changes: service.changes };
    service.readAll = () => {
      service.revision = 2;
      service.changes = [];
      const changes: DiscoveryChange[] = [
        { kind: "gone", id: "one", revision: 2, reason: "removed" },
      ];
      const update = { baseRevision: 1, revision: 2, changes };
      synchronizer.applyPeerUpdate(update, 0);
      return Promise.resolve(ok(listing));
    };
    await advance(1_000);
    expect(synchronizer.state.records.has("one")).toBe(false);
    synchronizer.stop();
  });

  it("drops at once a server removed right after the start", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.revision = 2;
    service.changes = [
      { kind: "gone", id: "one", revision: 2, reason: "removed" },
    ];
    await advance(300);
    expect(synchronizer.state.records.has("one")).toBe(false);
    synchronizer.stop();
  });

  it("backs off while it is refused, and logs the loss once", async () => {
    const { service, synchronizer, events } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.behaviour = "refused";
    service.calls = 0;
    await advance(10_000);
    expect(service.calls).toBeLessThanOrEqual(20);
    expect(events.filter((event) => event === "discovery-lost")).toHaveLength(
      1,
    );
    service.behaviour = "answering";
    await advance(2_500);
    expect(events).toContain("discovery-regained");
    synchronizer.stop();
  });

  it("goes on after an answer whose reading throws, and lists again", async () => {
    const { service, synchronizer, events } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    const watch = service.watch.bind(service);
    service.watch = () => Promise.reject(new RangeError("stack exceeded"));
    await advance(2_000);
    expect(events).toContain("discovery-lost");
    expect(service.reads).toBeGreaterThan(1);
    service.watch = watch;
    service.revision = 2;
    service.changes = [registration("two", 2)];
    await advance(2_500);
    expect(synchronizer.state.records.has("two")).toBe(true);
    synchronizer.stop();
  });

  it("keeps servers that expired in an outage for a while", async () => {
    const { service, synchronizer } = setUp();
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.behaviour = "unreachable";
    await advance(4_000);
    service.behaviour = "answering";
    service.revision = 5;
    service.changes = [
      { kind: "gone", id: "one", revision: 5, reason: "removed" },
    ];
    await advance(1_500);
    synchronizer.settleProvisional();
    expect(synchronizer.state.records.has("one")).toBe(true);
    await advance(2_500);
    synchronizer.settleProvisional();
    expect(synchronizer.state.records.has("one")).toBe(false);
    synchronizer.stop();
  });
});

describe("an entry that gets changes from peers", () => {
  // The entry under test is the last that would be chosen to watch.
  const members = rankMembers("discovery-watcher", ["a", "b", "c", "d"])
    .reverse();

  it("drops the servers that are missing from a peer's listing", async () => {
    const { synchronizer } = setUp();
    synchronizer.applyPeerListing({
      revision: 2,
      changes: [registration("one", 1), registration("two", 2)],
    }, 0);
    const peer = setUp(["peer"]);
    peer.service.changes = [registration("two", 2)];
    peer.service.revision = 3;
    peer.synchronizer.start();
    await advance(START_MILLISECONDS);
    peer.synchronizer.stop();
    for (const update of peer.updates) synchronizer.applyPeerUpdate(update, 0);
    expect(synchronizer.state.revision).toBe(3);
    expect([...synchronizer.state.records.keys()]).toEqual(["two"]);
  });

  it("does not call the service while its state is fresh", async () => {
    const { service, synchronizer } = setUp(members);
    synchronizer.start();
    await advance(START_MILLISECONDS);
    const before = service.calls;
    for (let second = 0; second < 10; second++) {
      synchronizer.recordPeerFreshness({ revision: 1, ageMilliseconds: 5 });
      await advance(1_000);
    }
    expect(service.calls - before).toBeLessThanOrEqual(1);
    synchronizer.stop();
  });

  it("watches by itself within 1.5 s of the last confirmation", async () => {
    const { service, synchronizer } = setUp(members);
    synchronizer.start();
    await advance(START_MILLISECONDS);
    synchronizer.recordPeerFreshness({ revision: 1, ageMilliseconds: 0 });
    await advance(1_000);
    const before = service.calls;
    service.revision = 2;
    service.changes = [registration("two", 2)];
    await advance(500);
    expect(service.calls).toBeGreaterThan(before);
    expect(synchronizer.state.records.has("two")).toBe(true);
    synchronizer.stop();
  });

  it("watches without a pause after it has taken over", async () => {
    const { service, synchronizer } = setUp(members);
    synchronizer.start();
    await advance(START_MILLISECONDS + 1_500);
    service.revision = 2;
    service.changes = [registration("two", 2)];
    await advance(100);
    expect(synchronizer.state.records.has("two")).toBe(true);
    synchronizer.stop();
  });

  it("detects that changes before those from a peer are missing", async () => {
    const { synchronizer } = setUp(members);
    synchronizer.start();
    await advance(3_000);
    const gap = { baseRevision: 7, revision: 8, changes: [] };
    expect(synchronizer.applyPeerUpdate(gap, 0)).toBe(false);
    expect(
      synchronizer.recordPeerFreshness({ revision: 8, ageMilliseconds: 0 }),
    )
      .toBe(false);
    synchronizer.applyPeerListing(
      { revision: 8, changes: [registration("x", 8)] },
      0,
    );
    expect([...synchronizer.state.records.keys()]).toEqual(["x"]);
    synchronizer.stop();
  });
});

describe("a fleet after an outage of the service", () => {
  const names = Array.from({ length: 40 }, (_, index) => `entry-${index}`);

  it("gets a change that follows the outage within two seconds", async () => {
    const { service, synchronizers } = setUpFleet(names);
    await advance(5_000);
    service.behaviour = "unreachable";
    await advance(8_000);
    service.behaviour = "answering";
    await advance(130);
    service.revision = 2;
    service.changes = [registration("two", 2)];
    service.calls = 0;
    await advance(2_000);
    const uninformed = synchronizers.filter(({ state }) =>
      !state.records.has("two")
    );
    expect(uninformed).toHaveLength(0);
    expect(service.calls).toBeLessThan(2 * names.length);
    for (const synchronizer of synchronizers) synchronizer.stop();
  });
});

describe("an entry whose service was restored from a copy", () => {
  /** The entry has seen revision 40 of era 1. */
  async function setUpRestored() {
    const fixture = setUp();
    const { service, synchronizer } = fixture;
    service.era = 1;
    service.revision = 40;
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.era = 2;
    return fixture;
  }

  it("lists once and continues from the copy's revision", async () => {
    const { service, synchronizer, updates, events } = await setUpRestored();
    service.revision = 10;
    await advance(3_000);
    expect(service.reads).toBe(2);
    expect(synchronizer.freshness).toMatchObject({ era: 2, revision: 10 });
    expect(synchronizer.stateAgeMilliseconds).toBeLessThan(1_250);
    expect(events).toContain("discovery-era-changed");
    service.revision = 11;
    service.changes = [registration("two", 11)];
    await advance(100);
    expect(synchronizer.state.records.has("two")).toBe(true);
    expect(updates.at(-1)).toMatchObject({
      era: 2,
      baseRevision: 10,
      revision: 11,
    });
    synchronizer.stop();
  });

  it("does not list what a peer sent while the watch was under way", async () => {
    const { service, synchronizer } = await setUpRestored();
    service.revision = 10;
    await advance(1);
    const listing = { era: 2, revision: 10, changes: [registration("two", 9)] };
    synchronizer.applyPeerListing(listing, 0);
    await advance(3_000);
    expect(service.reads).toBe(1);
    expect(synchronizer.state.records.has("two")).toBe(true);
    expect(synchronizer.stateAgeMilliseconds).toBeLessThan(1_250);
    synchronizer.stop();
  });

  it("lists everything when the revisions have passed its own", async () => {
    const { service, synchronizer } = await setUpRestored();
    service.revision = 50;
    service.changes = [registration("two", 30), registration("three", 50)];
    await advance(300);
    expect(service.reads).toBe(2);
    expect([...synchronizer.state.records.keys()]).toEqual(
      expect.arrayContaining(["two", "three"]),
    );
    synchronizer.stop();
  });

  it("lists everything when the same revision was given out again", async () => {
    const { service, synchronizer } = await setUpRestored();
    service.changes = [registration("two", 40)];
    await advance(1_500);
    expect(synchronizer.state.records.has("two")).toBe(true);
    synchronizer.stop();
  });

  it("is not confirmed by an answer of the era before", async () => {
    const { service, synchronizer } = await setUpRestored();
    service.revision = 10;
    await advance(1_000);
    service.era = 1;
    service.revision = 45;
    service.changes = [registration("late", 45)];
    await advance(3_000);
    expect(synchronizer.state.records.has("late")).toBe(false);
    expect(synchronizer.stateAgeMilliseconds).toBeGreaterThan(2_000);
    service.era = 2;
    service.revision = 11;
    service.changes = [registration("two", 11)];
    await advance(2_000);
    expect(synchronizer.state.records.has("two")).toBe(true);
    synchronizer.stop();
  });

  it("does not list again and again if no era is told", async () => {
    const { service, synchronizer } = setUp();
    service.revision = 40;
    synchronizer.start();
    await advance(START_MILLISECONDS);
    service.revision = 10;
    service.calls = 0;
    await advance(10_000);
    expect(service.calls).toBeLessThanOrEqual(40);
    service.revision = 41;
    service.changes = [registration("two", 41)];
    await advance(1_500);
    expect(synchronizer.state.records.has("two")).toBe(true);
    synchronizer.stop();
  });

  it("goes on as before if the era is no longer told", async () => {
    const { service, synchronizer } = await setUpRestored();
    service.era = undefined;
    service.revision = 41;
    service.changes = [registration("two", 41)];
    await advance(100);
    expect(synchronizer.state.records.has("two")).toBe(true);
    expect(service.reads).toBe(1);
    synchronizer.stop();
  });
});

it("a withheld server stays so while the service cannot be asked", async () => {
  const { service, synchronizer } = setUp();
  const listed = [registration("one", 1)];
  const removed = [
    { kind: "gone", id: "one", revision: 2, reason: "removed" } as const,
  ];
  service.era = 1;
  synchronizer.start();
  await advance(START_MILLISECONDS);
  service.revision = 2;
  service.changes = removed;
  await advance(START_MILLISECONDS);
  service.era = 2;
  service.revision = 1;
  service.changes = listed;
  await advance(1_000);
  service.behaviour = "unreachable";
  await advance(8_000);
  synchronizer.settleProvisional();
  expect(synchronizer.state.records.has("one")).toBe(false);
  service.behaviour = "answering";
  await advance(2_000);
  synchronizer.settleProvisional();
  expect(synchronizer.state.records.has("one")).toBe(true);
  synchronizer.stop();
});

describe("an entry that learns from peers of a restored service", () => {
  const inEra = (era: number | undefined, revision: number) => ({
    era,
    revision,
    changes: [registration(`server-${revision}`, revision)],
  });

  function setUpSecondEra(): DiscoverySynchronizer {
    const { synchronizer } = setUp();
    synchronizer.applyPeerListing(inEra(1, 40), 0);
    synchronizer.applyPeerListing(inEra(2, 10), 0);
    return synchronizer;
  }

  it("takes a listing of a lower revision in the new era", () => {
    const synchronizer = setUpSecondEra();
    expect(synchronizer.freshness).toMatchObject({ era: 2, revision: 10 });
    expect(synchronizer.state.records.has("server-10")).toBe(true);
  });

  it("takes changes of the new era only onto a state of that era", () => {
    const { synchronizer } = setUp();
    synchronizer.applyPeerListing(inEra(1, 40), 0);
    const update = { ...inEra(2, 11), baseRevision: 10 };
    expect(synchronizer.applyPeerUpdate(update, 0)).toBe(false);
    expect(synchronizer.state.records.has("server-11")).toBe(false);
    const second = setUpSecondEra();
    expect(second.applyPeerUpdate(update, 0)).toBe(true);
    expect(second.state.records.has("server-11")).toBe(true);
  });

  it("is behind a peer with a lower revision of a later era", () => {
    const { synchronizer } = setUp();
    synchronizer.applyPeerListing(inEra(1, 40), 0);
    const ahead = { era: 2, revision: 10, ageMilliseconds: 0 };
    expect(synchronizer.recordPeerFreshness(ahead)).toBe(false);
  });

  for (const era of [1, undefined]) {
    it(`takes nothing that is of ${era ?? "an unknown"} era`, async () => {
      const synchronizer = setUpSecondEra();
      await advance(1_000);
      const old = { era, revision: 60, ageMilliseconds: 0 };
      expect(synchronizer.recordPeerFreshness(old)).toBe(true);
      synchronizer.applyPeerListing(inEra(era, 61), 0);
      const update = { ...inEra(era, 62), baseRevision: 10 };
      expect(synchronizer.applyPeerUpdate(update, 0)).toBe(true);
      const same = { ...inEra(era, 10), baseRevision: 10 };
      expect(synchronizer.applyPeerUpdate(same, 0)).toBe(true);
      expect(synchronizer.freshness).toMatchObject({ era: 2, revision: 10 });
      expect(synchronizer.state.records.has("server-61")).toBe(false);
      expect(synchronizer.state.records.has("server-62")).toBe(false);
      expect(synchronizer.stateAgeMilliseconds).toBe(1_000);
    });
  }
});

describe("a fleet whose service was restored from a copy", () => {
  const names = Array.from({ length: 40 }, (_, index) => `entry-${index}`);

  it("gets a change that follows within two seconds, for few calls", async () => {
    const { service, synchronizers } = setUpFleet(names);
    service.era = 1;
    service.revision = 40;
    await advance(5_000);
    service.behaviour = "unreachable";
    await advance(2_000);
    service.era = 2;
    service.revision = 10;
    service.behaviour = "answering";
    service.calls = 0;
    await advance(3_000);
    service.revision = 11;
    service.changes = [registration("two", 11)];
    await advance(2_000);
    const uninformed = synchronizers.filter(({ state }) =>
      !state.records.has("two")
    );
    expect(uninformed).toHaveLength(0);
    expect(service.calls).toBeLessThan(4 * names.length);
    for (const synchronizer of synchronizers) synchronizer.stop();
  });
});
