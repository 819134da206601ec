/**
 * Plays fleets of several sizes on a virtual clock, with the real membership
 * code, lost datagrams and late ones.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { FleetMembership } from "./fleet_membership.ts";
import { VirtualClock } from "./__fixtures__/virtual_clock.ts";
import { encodeFleetMessage, type FleetDatagram } from "./fleet_messages.ts";

const LOSS = 0.02;
/** Large fleets take long to play beside other work; no bound is meant. */
const PLAY_MILLISECONDS = 600_000;
const DELAY_MILLISECONDS = 2;
const SETTLE_MILLISECONDS = 8_000;
const OBSERVED_MILLISECONDS = 20_000;
/** Callers that hold an answer of the directory retry elsewhere meanwhile. */
const NOTICE_MILLISECONDS = 6_000;

let time: VirtualClock;

type Node = {
  readonly fleet: FleetMembership;
  readonly address: string;
  isUp: boolean;
  sent: number;
  bytes: number;
};

function makeFleet(size: number): Node[] {
  const generator = xoroshiro128plus(size);
  const random = () => uniformFloat64(generator);
  const nodes = new Map<string, Node>();
  const addressOf = (index: number) => `10.0.${index >> 8}.${index & 255}:1`;
  const deliver = (to: string, datagram: FleetDatagram, from: string) => {
    const peer = nodes.get(to);
    if (peer === undefined || !peer.isUp) return;
    if (datagram.kind === "members") peer.fleet.receive(datagram, from);
    else if (datagram.kind === "who") peer.fleet.sendRecords(datagram, from);
  };
  for (let index = 0; index < size; index++) {
    const address = addressOf(index);
    const send = (to: readonly string[], datagram: FleetDatagram) => {
      const bytes = encodeFleetMessage(datagram).byteLength;
      node.sent += to.length;
      node.bytes += bytes * to.length;
      const reached = to.filter(() => node.isUp && random() >= LOSS);
      if (reached.length === 0) return;
      setTimeout(() => {
        for (const target of reached) deliver(target, datagram, address);
      }, DELAY_MILLISECONDS);
    };
    const fleet = new FleetMembership({
      clock: () => time.now,
      random,
      self: {
        incarnation: `run-${index}`,
        callAddress: address,
        meshAddress: address,
        datagramAddress: address,
        failureDomain: `domain-${index % 4}`,
      },
      seeds: () => [addressOf(0), addressOf(1), addressOf(2)],
      socket: { send },
      discoveryFreshness: () => ({ revision: 1, ageMilliseconds: 0 }),
      writeEvent: () => {},
    });
    const node: Node = { fleet, address, isUp: true, sent: 0, bytes: 0 };
    nodes.set(address, node);
  }
  for (const { fleet } of nodes.values()) {
    fleet.start();
    fleet.enterState("serving");
  }
  return [...nodes.values()];
}

function known(node: Node): number {
  return node.fleet.members.livePeers().length;
}

beforeEach(() => {
  time = new VirtualClock();
  time.install();
});
afterEach(() => vi.unstubAllGlobals());

describe("the fleet", () => {
  for (const size of [3, 12, 18, 50]) {
    it(`of ${size} knows itself whole, and soon misses one`, () => {
      const nodes = makeFleet(size);
      time.advance(SETTLE_MILLISECONDS);
      for (const node of nodes) expect(known(node)).toBe(size - 1);
      const lost = nodes[size - 1];
      lost.isUp = false;
      time.advance(NOTICE_MILLISECONDS);
      for (const node of nodes) {
        if (node === lost) continue;
        expect(
          node.fleet.members.livePeers().map(({ callAddress }) => callAddress),
        ).not.toContain(lost.address);
        expect(known(node)).toBeGreaterThanOrEqual(size - 2);
      }
      for (const { fleet } of nodes) fleet.stop();
    });
  }

  it("hears at once of an entry that leaves", () => {
    const nodes = makeFleet(18);
    time.advance(SETTLE_MILLISECONDS);
    nodes[4].fleet.enterState("leaving");
    time.advance(10 * DELAY_MILLISECONDS);
    for (const node of nodes) {
      if (node === nodes[4]) continue;
      const record = node.fleet.members.livePeers().find(({ callAddress }) =>
        callAddress === nodes[4].address
      );
      expect(record?.state).toBe("leaving");
    }
    for (const { fleet } of nodes) fleet.stop();
  });

  it("costs a member no more as it grows beyond a datagram", () => {
    const cost = (size: number) => {
      const nodes = makeFleet(size);
      time.advance(SETTLE_MILLISECONDS);
      for (const node of nodes) node.bytes = node.sent = 0;
      time.advance(OBSERVED_MILLISECONDS);
      for (const { fleet } of nodes) fleet.stop();
      return {
        bytes: Math.max(...nodes.slice(3).map(({ bytes }) => bytes)),
        sent: Math.max(...nodes.slice(3).map(({ sent }) => sent)),
      };
    };
    const at = [12, 50, 150].map(cost);
    expect(at[2].sent).toBeLessThan(at[0].sent * Math.log(150) / Math.log(12));
    expect(at[2].bytes).toBeLessThan(at[1].bytes * 1.3);
  }, PLAY_MILLISECONDS);
});

describe("a fleet of 150", () => {
  it("keeps every live member in sight", () => {
    const nodes = makeFleet(150);
    time.advance(SETTLE_MILLISECONDS);
    let missing = 0;
    for (let second = 0; second < 10; second++) {
      time.advance(1_000);
      for (const node of nodes) missing += 149 - known(node);
    }
    for (const { fleet } of nodes) fleet.stop();
    expect(missing).toBe(0);
  }, PLAY_MILLISECONDS);
});
