/**
 * Tests that members find each other, detect a lost one and keep the live ones
 * although datagrams are delayed and lost. Fleets of several sizes are simulated
 * on a virtual clock.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  DELIVERY_DELAY_MILLISECONDS,
  type Node,
  SimulatedFleet,
} from "./__fixtures__/simulated_fleet.ts";
import { VirtualClock } from "./__fixtures__/virtual_clock.ts";

const LOSS_SHARE = 0.02;
/** Generous, as simulating large fleets is slow on a busy machine. */
const SIMULATION_TIMEOUT_MILLISECONDS = 600_000;
const SETTLE_MILLISECONDS = 8_000;
const OBSERVATION_MILLISECONDS = 20_000;
/**
 * A lost entry must be noticed within this time; meanwhile callers that have
 * its address retry at another entry.
 */
const FAILURE_DETECTION_MILLISECONDS = 6_000;

let virtualClock: VirtualClock;

function makeFleet(size: number): Node[] {
  const fleet = new SimulatedFleet(virtualClock, {
    size,
    domains: 4,
    lossShare: LOSS_SHARE,
  });
  fleet.start();
  return fleet.nodes;
}

function countKnownPeers(node: Node): number {
  return node.fleet.members.livePeers().length;
}

beforeEach(() => {
  virtualClock = new VirtualClock();
  virtualClock.install();
});
afterEach(() => vi.unstubAllGlobals());

describe("the fleet", () => {
  for (const size of [3, 12, 18, 50]) {
    it(`of ${size} finds every member, and soon detects a lost one`, () => {
      const nodes = makeFleet(size);
      virtualClock.advance(SETTLE_MILLISECONDS);
      for (const node of nodes) expect(countKnownPeers(node)).toBe(size - 1);
      const lost = nodes[size - 1];
      lost.isUp = false;
      virtualClock.advance(FAILURE_DETECTION_MILLISECONDS);
      for (const node of nodes) {
        if (node === lost) continue;
        expect(
          node.fleet.members.livePeers().map(({ callAddress }) => callAddress),
        ).not.toContain(lost.address);
        expect(countKnownPeers(node)).toBeGreaterThanOrEqual(size - 2);
      }
      for (const { fleet } of nodes) fleet.stop();
    });
  }

  it("learns at once of an entry that leaves", () => {
    const nodes = makeFleet(18);
    virtualClock.advance(SETTLE_MILLISECONDS);
    nodes[4].fleet.enterState("leaving");
    virtualClock.advance(10 * DELIVERY_DELAY_MILLISECONDS);
    for (const node of nodes) {
      if (node === nodes[4]) continue;
      const record = node.fleet.members.livePeers().find(({ callAddress }) =>
        callAddress === nodes[4].address
      );
      expect(record?.state).toBe("leaving");
    }
    for (const { fleet } of nodes) fleet.stop();
  });

  it("costs a member no more traffic once it outgrows a datagram", () => {
    const cost = (size: number) => {
      const nodes = makeFleet(size);
      virtualClock.advance(SETTLE_MILLISECONDS);
      for (const node of nodes) node.bytes = node.sent = 0;
      virtualClock.advance(OBSERVATION_MILLISECONDS);
      for (const { fleet } of nodes) fleet.stop();
      return {
        bytes: Math.max(...nodes.slice(3).map(({ bytes }) => bytes)),
        sent: Math.max(...nodes.slice(3).map(({ sent }) => sent)),
      };
    };
    const at = [12, 50, 150, 250].map(cost);
    expect(at[2].sent).toBeLessThan(at[0].sent * Math.log(150) / Math.log(12));
    // A datagram has room for the heartbeats of 124 members.
    expect(at[2].bytes).toBeLessThan(at[1].bytes * 2);
    expect(at[3].bytes).toBeLessThan(at[2].bytes * 1.1);
  }, SIMULATION_TIMEOUT_MILLISECONDS);
});

describe("a fleet of 150", () => {
  it("keeps every live member in each member list", () => {
    const nodes = makeFleet(150);
    virtualClock.advance(SETTLE_MILLISECONDS);
    let missing = 0;
    for (let second = 0; second < 10; second++) {
      virtualClock.advance(1_000);
      for (const node of nodes) missing += 149 - countKnownPeers(node);
    }
    for (const { fleet } of nodes) fleet.stop();
    expect(missing).toBe(0);
  }, SIMULATION_TIMEOUT_MILLISECONDS);
});
