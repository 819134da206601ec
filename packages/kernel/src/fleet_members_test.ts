/**
 * Tests of membership by counters.
 */
import { describe, expect, it } from "vitest";
import { FleetMembers, type MemberRecord } from "./fleet_members.ts";

function member(given: Partial<MemberRecord>): MemberRecord {
  return {
    incarnation: "self",
    callAddress: "10.0.0.1:80",
    meshAddress: "10.0.0.1:81",
    datagramAddress: "10.0.0.1:82",
    failureDomain: "a",
    state: "serving",
    counter: 1,
    ...given,
  };
}

function setUp() {
  const time = { now: 0 };
  const members = new FleetMembers({
    clock: () => time.now,
    self: () => member({}),
    silenceMilliseconds: () => 2_000,
    forgetMilliseconds: 10_000,
  });
  return { time, members };
}

const PEER = member({ incarnation: "peer", meshAddress: "10.0.0.2:81" });

describe("FleetMembers", () => {
  it("believes a peer alive as long as its counter rises", () => {
    const { time, members } = setUp();
    members.note([PEER]);
    time.now = 1_500;
    members.note([{ ...PEER, counter: 2 }]);
    time.now = 3_000;
    expect(members.alivePeers()).toHaveLength(1);
    members.note([{ ...PEER, counter: 2 }]);
    time.now = 3_600;
    expect(members.alivePeers()).toHaveLength(0);
    expect(members.sweep().map(({ kind }) => kind)).toEqual(["lost"]);
  });

  it("replaces a run by the next one at the same address", () => {
    const { members } = setUp();
    members.note([PEER]);
    members.note([{ ...PEER, incarnation: "again" }]);
    expect(members.alivePeers().map(({ incarnation }) => incarnation))
      .toEqual(["again"]);
  });

  it("divides budgets by silent members until they are forgotten", () => {
    const { time, members } = setUp();
    members.note([PEER]);
    time.now = 5_000;
    members.sweep();
    expect(members.budgetDivisor()).toBe(2);
    time.now = 11_000;
    members.sweep();
    expect(members.budgetDivisor()).toBe(1);
  });

  it("does not list a peer that has stopped", () => {
    const { members } = setUp();
    members.note([PEER]);
    const [change] = members.note([{ ...PEER, state: "stopped", counter: 2 }]);
    expect(change.kind).toBe("state-changed");
    expect(members.alivePeers()).toHaveLength(0);
  });
});
