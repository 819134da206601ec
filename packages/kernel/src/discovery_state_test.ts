/**
 * Tests of changes and listings that arrive late, repeatedly or out of order:
 * none may bring back a server that is draining or was removed.
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
