/**
 * Tests of how an entry keeps its discovery state complete, on a virtual
 * clock and with a discovery service that fails as told.
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

// The keeper sleeps on Node's promised timers, which the virtual clock lacks.
vi.mock("node:timers/promises", () => ({
  setTimeout: (milliseconds: number) =>
    new Promise((resolve) => setTimeout(resolve, milliseconds)),
}));

type Mood = DiscoveryFailure["kind"] | "answering";

/** A service whose answers take 4 ms and whose revision is set by the test. */
class FakeService implements DiscoverySource {
  mood: Mood = "answering";
  calls = 0;
  reads = 0;
  revision = 1;
  changes: DiscoveryChange[] = [];

  async readAll() {
    this.reads += 1;
    return await this.#answer(4, () => ({
      revision: this.revision,
      changes: this.changes,
    }));
  }

  async watch(after: number, wait: number) {
    const hasNews = () => this.revision > after;
    for (let waited = 0; waited < wait && !hasNews(); waited += 20) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      if (this.mood !== "answering") break;
    }
    return await this.#answer(4, () => ({
      revision: this.revision,
      changes: hasNews() ? this.changes : [],
    }));
  }

  close(): void {}

  async #answer<Value>(
    milliseconds: number,
    make: () => Value,
  ): Promise<Result<Value, DiscoveryFailure>> {
    this.calls += 1;
    await new Promise((resolve) => setTimeout(resolve, milliseconds));
    if (this.mood === "answering") return ok(make());
    return err({ kind: this.mood, detail: "told to fail" });
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

function setUp(members: readonly string[] = ["self"]) {
  const service = new FakeService();
  service.changes = [registration("one", 1)];
  const answers: DiscoveryUpdate[] = [];
  const events: string[] = [];
  const keeper = new DiscoverySynchronizer({
    source: service,
    clock: () => Date.now(),
    random: () => 0.5,
    settings: {
      watcherCount: 2,
      watchWaitMilliseconds: 1_000,
      batchDelayMilliseconds: 200,
      maximumStateAgeMilliseconds: 1_250,
      outageGraceMilliseconds: 2_300,
    },
    self: members[0],
    eligibleWatchers: () => members,
    onChange: () => {},
    onUpdate: (answer) => answers.push(answer),
    writeEvent: ({ event }) => events.push(event),
    onServiceCall: () => {},
  });
  return { service, keeper, answers, events };
}

const pass = (milliseconds: number) =>
  vi.advanceTimersByTimeAsync(milliseconds);

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

describe("an entry that watches", () => {
  it("reads once and then tells peers what each watch brings", async () => {
    const { service, keeper, answers } = setUp();
    keeper.start();
    await pass(50);
    expect(keeper.state.records.has("one")).toBe(true);
    service.revision = 2;
    service.changes = [registration("two", 2)];
    await pass(100);
    expect(answers.at(-1)).toMatchObject({ baseRevision: 1, revision: 2 });
    expect(service.reads).toBe(1);
    keeper.stop();
  });

  it("calls a quiet service about once a second", async () => {
    const { service, keeper } = setUp();
    keeper.start();
    await pass(10_000);
    expect(service.calls).toBeLessThanOrEqual(12);
    keeper.stop();
  });

  it("reads everything again when the history is gone", async () => {
    const { service, keeper, events } = setUp();
    keeper.start();
    await pass(3_000);
    service.mood = "history-gone";
    await pass(100);
    service.mood = "answering";
    service.revision = 9;
    service.changes = [registration("two", 8)];
    await pass(1_000);
    expect([...keeper.state.records.keys()]).toEqual(["two"]);
    expect(events).toContain("history-reread");
    keeper.stop();
  });

  it("drops at once what is removed right after the start", async () => {
    const { service, keeper } = setUp();
    keeper.start();
    await pass(50);
    service.revision = 2;
    service.changes = [
      { kind: "gone", id: "one", revision: 2, reason: "removed" },
    ];
    await pass(300);
    expect(keeper.state.records.has("one")).toBe(false);
    keeper.stop();
  });

  it("backs off while it is refused, and says so once", async () => {
    const { service, keeper, events } = setUp();
    keeper.start();
    await pass(50);
    service.mood = "refused";
    service.calls = 0;
    await pass(10_000);
    expect(service.calls).toBeLessThanOrEqual(20);
    expect(events.filter((event) => event === "discovery-lost")).toHaveLength(
      1,
    );
    service.mood = "answering";
    await pass(2_500);
    expect(events).toContain("discovery-regained");
    keeper.stop();
  });

  it("keeps what expired in an outage for a while after it", async () => {
    const { service, keeper } = setUp();
    keeper.start();
    await pass(50);
    service.mood = "unreachable";
    await pass(4_000);
    service.mood = "answering";
    service.revision = 5;
    service.changes = [
      { kind: "gone", id: "one", revision: 5, reason: "removed" },
    ];
    await pass(1_500);
    keeper.dropExpired();
    expect(keeper.state.records.has("one")).toBe(true);
    await pass(2_500);
    keeper.dropExpired();
    expect(keeper.state.records.has("one")).toBe(false);
    keeper.stop();
  });
});

describe("an entry that others tell", () => {
  // The entry under test is the last that would be chosen to watch.
  const members = rankMembers("discovery-watcher", ["a", "b", "c", "d"])
    .reverse();

  it("does not call the service while news is fresh", async () => {
    const { service, keeper } = setUp(members);
    keeper.start();
    await pass(100);
    const before = service.calls;
    for (let second = 0; second < 10; second++) {
      keeper.recordPeerFreshness({ revision: 1, ageMilliseconds: 5 });
      await pass(1_000);
    }
    expect(service.calls - before).toBeLessThanOrEqual(1);
    keeper.stop();
  });

  it("watches by itself within 1.5 s of the last news", async () => {
    const { service, keeper } = setUp(members);
    keeper.start();
    await pass(100);
    keeper.recordPeerFreshness({ revision: 1, ageMilliseconds: 0 });
    await pass(1_000);
    const before = service.calls;
    service.revision = 2;
    service.changes = [registration("two", 2)];
    await pass(500);
    expect(service.calls).toBeGreaterThan(before);
    expect(keeper.state.records.has("two")).toBe(true);
    keeper.stop();
  });

  it("notices that changes before the told ones are missing", async () => {
    const { keeper } = setUp(members);
    keeper.start();
    await pass(3_000);
    const gap = { baseRevision: 7, revision: 8, changes: [] };
    expect(keeper.applyPeerUpdate(gap, 0)).toBe(false);
    expect(keeper.recordPeerFreshness({ revision: 8, ageMilliseconds: 0 }))
      .toBe(false);
    keeper.applyPeerListing(
      { revision: 8, changes: [registration("x", 8)] },
      0,
    );
    expect([...keeper.state.records.keys()]).toEqual(["x"]);
    keeper.stop();
  });
});
