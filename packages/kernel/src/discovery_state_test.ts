/**
 * Tests of changes and listings that arrive late, repeatedly or out of order,
 * or from an older copy of the discovery service: none may bring back a server
 * that is draining or was removed.
 */
import { describe, expect, it } from "vitest";
import { makeRegistration } from "./__fixtures__/registration.ts";
import { type DiscoveryChange, DiscoveryState } from "./discovery_state.ts";
import type { ServerRegistration } from "./routing_snapshot.ts";

const OUTAGE_GRACE_MILLISECONDS = 2_000;

function registered(
  fields: Partial<ServerRegistration>,
  revision: number,
): DiscoveryChange {
  return {
    kind: "registration",
    revision,
    registration: makeRegistration(fields),
  };
}

function removed(revision: number): DiscoveryChange {
  return { kind: "gone", id: "one", revision, reason: "removed" };
}

function stateOf(state: DiscoveryState): string | undefined {
  return state.records.get("one")?.registration.state;
}

function makeState(): DiscoveryState {
  return new DiscoveryState({
    outageGraceMilliseconds: OUTAGE_GRACE_MILLISECONDS,
  });
}

describe("DiscoveryState", () => {
  it("rejects a late write of the same process after it began to drain", () => {
    const state = makeState();
    state.apply([registered({ sequence: 9, state: "draining" }, 20)], 20, 0);
    state.apply([registered({ sequence: 8, state: "ready" }, 21)], 21, 0);
    expect(stateOf(state)).toBe("draining");
  });

  it("rejects a late write of a process that was removed", () => {
    const state = makeState();
    state.apply([registered({ sequence: 9 }, 20)], 20, 0);
    state.apply([removed(21)], 21, 0);
    state.apply([registered({ sequence: 8 }, 22)], 22, 0);
    expect(stateOf(state)).toBeUndefined();
  });

  it("rejects a removed server in an update that a slow peer sends again", () => {
    const state = makeState();
    state.apply([registered({}, 20)], 20, 0);
    state.apply([removed(21)], 21, 0);
    state.apply([registered({}, 20)], 20, 0);
    expect(stateOf(state)).toBeUndefined();
  });

  it("rejects a removed server in an old update to a restarted entry", () => {
    const state = makeState();
    state.applyListing({ revision: 21, changes: [] }, 0);
    state.apply([registered({}, 20)], 20, 0);
    expect(stateOf(state)).toBeUndefined();
    state.apply([registered({ sequence: 9 }, 22)], 22, 0);
    expect(stateOf(state)).toBe("ready");
  });

  it("accepts a new process with the same id and a lower sequence", () => {
    const state = makeState();
    state.apply([registered({ sequence: 9, state: "draining" }, 20)], 20, 0);
    state.apply(
      [registered({ sequence: 1, bornAtMilliseconds: 2_000 }, 21)],
      21,
      0,
    );
    expect(stateOf(state)).toBe("ready");
  });

  it("keeps a server that expired in an outage for the grace period", () => {
    const state = makeState();
    state.apply([registered({}, 20)], 20, 0);
    state.recordRecovery(10_000);
    state.apply([removed(21)], 21, 10_100);
    expect(stateOf(state)).toBe("ready");
    expect(state.dropExpired(11_900)).toEqual([]);
    expect(state.dropExpired(12_000)).toEqual(["one"]);
    expect(stateOf(state)).toBeUndefined();
  });

  it("keeps a server that is renewed within the grace period", () => {
    const state = makeState();
    state.apply([registered({}, 20)], 20, 0);
    state.recordRecovery(10_000);
    state.apply([removed(21)], 21, 10_100);
    state.apply([registered({ sequence: 5 }, 22)], 22, 11_000);
    expect(state.dropExpired(20_000)).toEqual([]);
    expect(stateOf(state)).toBe("ready");
  });

  it("drops a draining server at once, even after an outage", () => {
    const state = makeState();
    state.apply([registered({ state: "draining" }, 20)], 20, 0);
    state.recordRecovery(10_000);
    state.apply([removed(21)], 21, 10_100);
    expect(stateOf(state)).toBeUndefined();
  });

  it("removes servers that a listing does not hold, unless newer", () => {
    const state = makeState();
    state.apply([registered({}, 20), registered({ id: "two" }, 30)], 30, 0);
    state.applyListing({ revision: 25, changes: [] }, 0);
    expect([...state.records.keys()]).toEqual(["two"]);
  });

  it("gives the same state for changes out of order and repeated", () => {
    const changes = [
      registered({ sequence: 1 }, 1),
      registered({ sequence: 2 }, 2),
    ];
    const state = makeState();
    state.apply([changes[1], changes[0], changes[1]], 2, 0);
    expect(state.records.get("one")?.registration.sequence).toBe(2);
  });
});

describe("DiscoveryState after the service was restored from a copy", () => {
  const COPY_REVISION = 10;

  /** A state of the first era with the server at revision 20. */
  function makeOldState(fields: Partial<ServerRegistration> = {}) {
    const state = makeState();
    const changes = [registered({ sequence: 5, ...fields }, 20)];
    state.applyListing({ era: 1, revision: 20, changes }, 0);
    return state;
  }

  function restore(
    state: DiscoveryState,
    changes: readonly DiscoveryChange[],
    now: number,
    era = 2,
  ): void {
    state.applyListing({ era, revision: COPY_REVISION, changes }, now);
  }

  it("applies changes whose revisions were given out before", () => {
    const state = makeOldState();
    restore(state, [registered({ sequence: 2 }, 9)], 0);
    expect(state.revision).toBe(COPY_REVISION);
    state.apply([registered({ sequence: 6, slots: 7 }, 11)], 11, 0);
    expect(state.records.get("one")?.registration.slots).toBe(7);
    expect(state.revision).toBe(11);
  });

  it("removes a server at a revision that was given out before", () => {
    const state = makeOldState();
    restore(state, [registered({ sequence: 2 }, 9)], 0);
    state.apply([removed(11)], 11, 10_000);
    expect(stateOf(state)).toBeUndefined();
  });

  it("ignores a listing of the era before that arrives late", () => {
    const state = makeOldState();
    restore(state, [registered({ sequence: 2 }, 9)], 0);
    const changes = [registered({ id: "two" }, 30)];
    state.applyListing({ era: 1, revision: 30, changes }, 0);
    expect([...state.records.keys()]).toEqual(["one"]);
    expect(state.revision).toBe(COPY_REVISION);
  });

  it("takes a listing without an era for one of before", () => {
    const state = makeOldState();
    state.applyListing({ revision: 30, changes: [] }, 0);
    expect(stateOf(state)).toBe("ready");
  });

  it("keeps what a server said last if the copy has an older state", () => {
    const state = makeOldState({ sequence: 7, state: "draining" });
    restore(state, [registered({ sequence: 5 }, 9)], 0);
    expect(stateOf(state)).toBe("draining");
    state.apply([registered({ sequence: 6 }, 11)], 11, 0);
    expect(stateOf(state)).toBe("draining");
  });

  it("keeps a draining server that the copy lacks from being used", () => {
    const state = makeOldState({ sequence: 7, state: "draining" });
    restore(state, [], 0);
    expect(stateOf(state)).toBeUndefined();
    restore(state, [registered({ sequence: 5 }, 9)], 0, 3);
    expect(stateOf(state)).toBeUndefined();
  });

  it("rejects a server that was removed and that the copy still has", () => {
    const state = makeOldState();
    state.apply([removed(21)], 21, 0);
    for (const era of [2, 3]) {
      restore(state, [registered({ sequence: 5 }, 9)], 0, era);
      expect(stateOf(state)).toBeUndefined();
    }
  });

  it("accepts a removed server that registers again or started anew", () => {
    for (
      const fields of [{ sequence: 6 }, {
        sequence: 1,
        bornAtMilliseconds: 9_000,
      }]
    ) {
      const state = makeOldState();
      state.apply([removed(21)], 21, 0);
      restore(state, [], 0);
      state.apply([registered(fields, 11)], 11, 0);
      expect(stateOf(state)).toBe("ready");
      state.apply([removed(12)], 12, 10_000);
      expect(stateOf(state)).toBeUndefined();
    }
  });

  it("keeps a server that the copy lacks for the grace period", () => {
    const state = makeOldState();
    restore(state, [], 1_000);
    expect(stateOf(state)).toBe("ready");
    expect(state.dropExpired(2_900)).toEqual([]);
    expect(state.dropExpired(3_000)).toEqual(["one"]);
    expect(stateOf(state)).toBeUndefined();
  });

  it("keeps a server that writes again what the copy lacks", () => {
    const state = makeOldState();
    restore(state, [], 1_000);
    state.apply([registered({ sequence: 5 }, 11)], 11, 2_000);
    expect(state.dropExpired(10_000)).toEqual([]);
    expect(stateOf(state)).toBe("ready");
  });

  it("extends the grace period when it is restored once more", () => {
    const state = makeOldState();
    restore(state, [], 1_000);
    restore(state, [], 2_500, 3);
    expect(state.dropExpired(4_400)).toEqual([]);
    state.apply([registered({ sequence: 5 }, 11)], 11, 4_400);
    expect(state.dropExpired(10_000)).toEqual([]);
    expect(stateOf(state)).toBe("ready");
  });

  it("passes on servers only for the rest of their grace period", () => {
    const state = makeOldState();
    restore(state, [], 1_000);
    const starting = makeState();
    // The clock of the other entry is 5 s ahead.
    starting.applyListing(state.listing(1_500), 6_500);
    expect(stateOf(starting)).toBe("ready");
    expect(starting.revision).toBe(COPY_REVISION);
    expect(starting.dropExpired(7_900)).toEqual([]);
    expect(starting.dropExpired(8_000)).toEqual(["one"]);
    expect(stateOf(starting)).toBeUndefined();
  });

  it("does not take from a peer a server that it saw removed", () => {
    const peer = makeOldState();
    restore(peer, [], 1_000);
    const state = makeOldState();
    state.apply([removed(21)], 21, 0);
    state.applyListing(peer.listing(1_500), 1_500);
    expect(state.position).toEqual(peer.position);
    expect(state.applyRenewed(20_000)).toEqual([]);
    expect(stateOf(state)).toBeUndefined();
  });

  it("passes on the last state of a server that the copy has older", () => {
    const state = makeOldState({ sequence: 7, state: "draining" });
    restore(state, [registered({ sequence: 5 }, 9)], 0);
    const starting = makeState();
    starting.applyListing(state.listing(0), 0);
    expect(stateOf(starting)).toBe("draining");
    starting.apply([removed(11)], 11, 0);
    expect(stateOf(starting)).toBeUndefined();
  });

  it("uses a removed server that the service still holds after its lease", () => {
    const state = makeOldState();
    state.apply([removed(21)], 21, 0);
    restore(state, [registered({ sequence: 5 }, 9)], 0);
    expect(state.applyRenewed(5_000)).toEqual([]);
    expect(state.applyRenewed(6_000)).toHaveLength(1);
    expect(stateOf(state)).toBe("ready");
    state.apply([removed(11)], 11, 10_000);
    expect(stateOf(state)).toBeUndefined();
  });

  it("makes a starting entry wait as long for a removed server", () => {
    const state = makeOldState();
    state.apply([removed(21)], 21, 0);
    restore(state, [registered({ sequence: 5 }, 9)], 0);
    const starting = makeState();
    // The clock of the other entry is 5 s ahead.
    starting.applyListing(state.listing(2_000), 7_000);
    expect(stateOf(starting)).toBeUndefined();
    const third = makeState();
    third.applyListing(starting.listing(8_000), 3_000);
    expect(stateOf(third)).toBeUndefined();
    expect(starting.applyRenewed(10_900)).toEqual([]);
    expect(starting.applyRenewed(11_000)).toHaveLength(1);
    expect(stateOf(starting)).toBe("ready");
    third.apply([registered({ sequence: 6 }, 11)], 11, 4_000);
    expect(stateOf(third)).toBe("ready");
  });

  it("does not use a removed server whose lease in the copy expires", () => {
    const state = makeOldState();
    state.apply([removed(21)], 21, 0);
    restore(state, [registered({ sequence: 5 }, 9)], 0);
    state.apply([removed(11)], 11, 4_500);
    expect(state.applyRenewed(6_000)).toEqual([]);
    expect(stateOf(state)).toBeUndefined();
  });

  it("never uses a server that drained and was removed", () => {
    const state = makeOldState({ sequence: 7, state: "draining" });
    state.apply([removed(21)], 21, 0);
    restore(state, [registered({ sequence: 5 }, 9)], 0);
    expect(state.applyRenewed(20_000)).toEqual([]);
    expect(stateOf(state)).toBeUndefined();
  });

  it("takes a newer configuration of an earlier era, and no older one", () => {
    const state = makeOldState();
    const snapshotOf = (version: number): DiscoveryChange => ({
      kind: "snapshot",
      snapshot: {
        version,
        routes: [],
        services: [],
        limits: {
          maximumHeaderBytes: 1,
          maximumBodyBytes: 1,
          headerTimeoutMilliseconds: 1,
          idleTimeoutMilliseconds: 1,
        },
      },
    });
    state.apply([snapshotOf(5)], 21, 0);
    restore(state, [snapshotOf(3)], 0);
    expect(state.snapshot?.version).toBe(5);
    const late = { era: 1, revision: 22, changes: [snapshotOf(6)] };
    expect(state.applyListing(late, 0)).toHaveLength(1);
    expect(state.snapshot?.version).toBe(6);
    expect(state.position).toEqual({ era: 2, revision: COPY_REVISION });
  });
});
