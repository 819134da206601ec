/**
 * Tests of what is believed of the discovery service's word.
 */
import { describe, expect, it } from "vitest";
import { makeRegistration } from "./__fixtures__/registration.ts";
import { type DiscoveryChange, DiscoveryState } from "./discovery_state.ts";
import type { ServerRegistration } from "./routing_snapshot.ts";

const RETURN_MILLISECONDS = 2_000;

function said(
  given: Partial<ServerRegistration>,
  revision: number,
): DiscoveryChange {
  return {
    kind: "registration",
    revision,
    registration: makeRegistration(given),
  };
}

function gone(revision: number): DiscoveryChange {
  return { kind: "gone", id: "one", revision, reason: "removed" };
}

function stateOf(state: DiscoveryState): string | undefined {
  return state.records.get("one")?.registration.state;
}

function make(): DiscoveryState {
  return new DiscoveryState({ outageGraceMilliseconds: RETURN_MILLISECONDS });
}

describe("DiscoveryState", () => {
  it("refuses a late write of the same run after it began to drain", () => {
    const state = make();
    state.apply([said({ sequence: 9, state: "draining" }, 20)], 20, 0);
    state.apply([said({ sequence: 8, state: "ready" }, 21)], 21, 0);
    expect(stateOf(state)).toBe("draining");
  });

  it("refuses a late write of a run that was removed", () => {
    const state = make();
    state.apply([said({ sequence: 9 }, 20)], 20, 0);
    state.apply([gone(21)], 21, 0);
    state.apply([said({ sequence: 8 }, 22)], 22, 0);
    expect(stateOf(state)).toBeUndefined();
  });

  it("takes a new run under the same id although it counts anew", () => {
    const state = make();
    state.apply([said({ sequence: 9, state: "draining" }, 20)], 20, 0);
    state.apply(
      [said({ sequence: 1, bornAtMilliseconds: 2_000 }, 21)],
      21,
      0,
    );
    expect(stateOf(state)).toBe("ready");
  });

  it("keeps what expired in an outage until it should be back", () => {
    const state = make();
    state.apply([said({}, 20)], 20, 0);
    state.recordRecovery(10_000);
    state.apply([gone(21)], 21, 10_100);
    expect(stateOf(state)).toBe("ready");
    expect(state.dropExpired(11_900)).toEqual([]);
    expect(state.dropExpired(12_000)).toEqual(["one"]);
    expect(stateOf(state)).toBeUndefined();
  });

  it("keeps for good what has returned in time", () => {
    const state = make();
    state.apply([said({}, 20)], 20, 0);
    state.recordRecovery(10_000);
    state.apply([gone(21)], 21, 10_100);
    state.apply([said({ sequence: 5 }, 22)], 22, 11_000);
    expect(state.dropExpired(20_000)).toEqual([]);
    expect(stateOf(state)).toBe("ready");
  });

  it("drops a draining server at once also after an outage", () => {
    const state = make();
    state.apply([said({ state: "draining" }, 20)], 20, 0);
    state.recordRecovery(10_000);
    state.apply([gone(21)], 21, 10_100);
    expect(stateOf(state)).toBeUndefined();
  });

  it("takes what a complete reading lacks as gone, but not newer news", () => {
    const state = make();
    state.apply([said({}, 20), said({ id: "two" }, 30)], 30, 0);
    state.applyListing({ revision: 25, changes: [] }, 0);
    expect([...state.records.keys()]).toEqual(["two"]);
  });

  it("takes changes in any order and twice alike", () => {
    const changes = [said({ sequence: 1 }, 1), said({ sequence: 2 }, 2)];
    const state = make();
    state.apply([changes[1], changes[0], changes[1]], 2, 0);
    expect(state.records.get("one")?.registration.sequence).toBe(2);
  });
});
