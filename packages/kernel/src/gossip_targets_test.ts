/**
 * Tests that what crosses failure domains in a round of gossip does not grow
 * with the fleet, and that small fleets gossip without such a bound.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, it } from "vitest";
import type { MemberRecord } from "./fleet_members.ts";
import { gossipTargets, seedsToAsk } from "./gossip_targets.ts";

const SEED = 20_261_206;
const DOMAINS = 3;
const ROUNDS = 50;

function makePeers(fleetSize: number): MemberRecord[] {
  return Array.from({ length: fleetSize - 1 }, (_, index) => ({
    incarnation: `peer-${index}`,
    callAddress: "",
    meshAddress: "",
    datagramAddress: "",
    failureDomain: `domain-${(index + 1) % DOMAINS}`,
    state: "serving",
    counter: 1,
  }));
}

function makeRandom(): () => number {
  const generator = xoroshiro128plus(SEED);
  return () => uniformFloat64(generator);
}

it.each([60, 150, 313])(
  "about ten messages leave a failure domain in a round of a fleet of %i",
  (fleetSize) => {
    const options = {
      failureDomain: "domain-0",
      peers: makePeers(fleetSize),
      random: makeRandom(),
    };
    let crossing = 0;
    for (let turn = 0; turn < ROUNDS * fleetSize / DOMAINS; turn++) {
      const targets = gossipTargets(options);
      const other = targets.filter(({ failureDomain }) =>
        failureDomain !== "domain-0"
      ).length;
      expect(other).toBeLessThanOrEqual(1);
      expect(targets.length - other).toBeGreaterThan(0);
      crossing += other;
    }
    expect(crossing / ROUNDS).toBeGreaterThan(9);
    expect(crossing / ROUNDS).toBeLessThan(11);
  },
);

it.each([60, 150, 313])(
  "about 18 entries of a fleet of %i ask one seed each when seeds are due",
  (fleetSize) => {
    const options = {
      seeds: ["a", "b", "c"],
      peers: makePeers(fleetSize),
      random: makeRandom(),
    };
    let asked = 0;
    for (let turn = 0; turn < ROUNDS * fleetSize; turn++) {
      const seeds = seedsToAsk(options);
      expect(seeds.length).toBeLessThanOrEqual(1);
      asked += seeds.length;
    }
    expect(asked / ROUNDS).toBeGreaterThan(16);
    expect(asked / ROUNDS).toBeLessThan(20);
  },
);

it("every entry of a small fleet asks all seeds, also one without peers", () => {
  for (const fleetSize of [1, 18]) {
    const peers = makePeers(fleetSize);
    const random = makeRandom();
    expect(seedsToAsk({ seeds: ["a", "b"], peers, random })).toEqual([
      "a",
      "b",
    ]);
  }
});

it("an entry that is alone in its failure domain still sends gossip", () => {
  const peers = makePeers(60);
  const random = makeRandom();
  const targets = gossipTargets({ failureDomain: "alone", peers, random });
  expect(targets).toHaveLength(1);
});
