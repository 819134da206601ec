/**
 * Tests of fleet membership by heartbeat counters.
 */
import { describe, expect, it } from "vitest";
import { FleetMembers, type MemberRecord } from "./fleet_members.ts";

function member(fields: Partial<MemberRecord>): MemberRecord {
  return {
    incarnation: "self",
    callAddress: "10.0.0.1:80",
    meshAddress: "10.0.0.1:81",
    datagramAddress: "10.0.0.1:82",
    failureDomain: "a",
    state: "serving",
    counter: 1,
    ...fields,
  };
}

function setUp() {
  const time = { now: 0 };
  const members = new FleetMembers({
    clock: () => time.now,
    self: () => member({}),
    failureTimeoutMilliseconds: () => 2_000,
    removalMilliseconds: 10_000,
    tagOf: (incarnation) => incarnation.length,
  });
  return { time, members };
}

const PEER = member({ incarnation: "peer-1", meshAddress: "10.0.0.2:81" });

describe("FleetMembers", () => {
  it("considers a peer alive as long as its counter increases", () => {
    const { time, members } = setUp();
    members.mergeRecords([PEER]);
    time.now = 1_500;
    members.mergeRecords([{ ...PEER, counter: 2 }]);
    time.now = 3_000;
    expect(members.livePeers()).toHaveLength(1);
    members.mergeRecords([{ ...PEER, counter: 2 }]);
    time.now = 3_600;
    expect(members.livePeers()).toHaveLength(0);
    expect(members.expireMembers().map(({ kind }) => kind)).toEqual(["lost"]);
  });

  it("does not take a removed peer for a new one when its last heartbeat comes late", () => {
    const { time, members } = setUp();
    members.mergeRecords([PEER]);
    time.now = 11_000;
    members.expireMembers();
    const { tag, counter, state } = { ...PEER, tag: PEER.incarnation.length };
    const late = members.mergeHeartbeats([{ tag, counter, state }]);
    expect(late.unknownTags).toEqual([]);
    expect(members.mergeRecords([PEER])).toEqual([]);
    const alive = members.mergeHeartbeats([{ tag, counter: 2, state }]);
    expect(alive.unknownTags).toEqual([tag]);
    members.mergeRecords([{ ...PEER, counter: 2 }]);
    expect(members.livePeers()).toHaveLength(1);
  });

  it("replaces a process by the next one at the same address", () => {
    const { members } = setUp();
    members.mergeRecords([PEER]);
    members.mergeRecords([{ ...PEER, incarnation: "again" }]);
    expect(members.livePeers().map(({ incarnation }) => incarnation))
      .toEqual(["again"]);
  });

  it("counts silent members in budgets until they are removed", () => {
    const { time, members } = setUp();
    members.mergeRecords([PEER]);
    time.now = 5_000;
    members.expireMembers();
    expect(members.budgetDivisor()).toBe(2);
    time.now = 11_000;
    members.expireMembers();
    expect(members.budgetDivisor()).toBe(1);
  });

  it("does not list a peer that has stopped", () => {
    const { members } = setUp();
    members.mergeRecords([PEER]);
    const [change] = members.mergeRecords([{
      ...PEER,
      state: "stopped",
      counter: 2,
    }]);
    expect(change.kind).toBe("state-changed");
    expect(members.livePeers()).toHaveLength(0);
  });

  it("updates members by heartbeats and returns unknown tags", () => {
    const { time, members } = setUp();
    members.mergeRecords([PEER]);
    time.now = 1_500;
    const result = members.mergeHeartbeats([
      { tag: PEER.incarnation.length, counter: 2, state: "leaving" },
      { tag: 77, counter: 9, state: "serving" },
      { tag: 78, counter: 9, state: "stopped" },
    ]);
    expect(result.unknownTags).toEqual([77]);
    expect(result.changes.map(({ kind }) => kind)).toEqual(["state-changed"]);
    time.now = 3_000;
    expect(members.livePeers()).toHaveLength(1);
  });

  it("of two processes at an address lists the one that counts up", () => {
    const { time, members } = setUp();
    const next = { ...PEER, incarnation: "again" };
    members.mergeRecords([next]);
    time.now = 100;
    members.mergeRecords([PEER]);
    time.now = 400;
    members.mergeRecords([{ ...next, counter: 2 }]);
    expect(members.livePeers().map(({ incarnation }) => incarnation))
      .toEqual(["again"]);
    expect(members.budgetDivisor()).toBe(2);
  });

  it("sends its own heartbeat first, then recent ones and some others", () => {
    const { time, members } = setUp();
    const peers = Array.from({ length: 20 }, (_, index) =>
      member({
        incarnation: "peer".padEnd(5 + index, "."),
        meshAddress: `10.0.1.${index}:81`,
      }));
    for (const [index, peer] of peers.entries()) {
      time.now = index;
      members.mergeRecords([peer]);
    }
    const sent = members.heartbeatsToSend(9, () => 0);
    expect(sent.map(({ tag }) => tag)).toEqual(
      [4, 24, 23, 22, 21, 20, 19, 18, 17],
    );
    const last = members.heartbeatsToSend(9, () => 0.999);
    expect(last.map(({ tag }) => tag)).toEqual([4, 24, 23, 22, 21, 5, 6, 7, 8]);
  });
});
