/**
 * Tests what a fleet sends servers that warm up, on a virtual clock.
 */
import { describe, expect, it } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { makeRegistration } from "./__fixtures__/registration.ts";
import { limitRank, shareOfLimit } from "./limit_share.ts";
import { limitWithQueue, place } from "./placement.ts";
import { ServerLoad } from "./server_load.ts";
import { ServerRestrictions } from "./server_restrictions.ts";

const RATE = 1.9;
const OVERSHOOT = 1.5;
const SLACK = 8;
const SERVERS = 62;
const ENTRIES = 146;
const DOWN_SHARE = 1 / 6;
const SECONDS = 20;
const STEP_MILLISECONDS = 50;
const SEED = 20_261_206;

function mostInOneSecond(arrivals: readonly number[]): number {
  let most = 0;
  let first = 0;
  arrivals.forEach((at, last) => {
    while (at - arrivals[first] >= 1_000) first += 1;
    most = Math.max(most, last - first + 1);
  });
  return most;
}

/**
 * Arrivals at each of the servers, all of which are cold from 0 on. A sixth of
 * the entries is down, and each entry misses or wrongly counts a sixth of the
 * others, which are not the same ones in each view.
 */
function arrivalsOf(viewMilliseconds: number): number[][] {
  const generator = xoroshiro128plus(SEED);
  const random = () => uniformFloat64(generator);
  const names = Array.from({ length: ENTRIES }, (_, index) => `run-${index}`);
  let now = 0;
  const entries = names.filter(() => random() >= DOWN_SHARE).map((self) => {
    let members = names;
    let shares = new Map<string, number>();
    let viewedAt = -Infinity;
    const shareOf = (server: string) => {
      if (now - viewedAt >= viewMilliseconds) {
        viewedAt = now;
        shares = new Map();
        members = names.filter((name) =>
          name === self || random() >= DOWN_SHARE
        );
      }
      let share = shares.get(server);
      if (share === undefined) {
        share = shareOfLimit(RATE, limitRank(server, self, members));
        shares.set(server, share);
      }
      return share;
    };
    return Array.from({ length: SERVERS }, (_, index) => {
      const id = `server-${index}`;
      const registration = makeRegistration({
        id,
        warmUpLeftMilliseconds: SECONDS * 1_000,
      });
      const restrictions = new ServerRestrictions(
        () => shareOf(id),
        random(),
      );
      return new ServerLoad(registration, 0, restrictions);
    });
  });
  const arrivals = Array.from({ length: SERVERS }, (): number[] => []);
  for (; now < SECONDS * 1_000; now += STEP_MILLISECONDS) {
    for (const servers of entries) {
      servers.forEach((server, index) => {
        while (server.trySpend(now, RATE)) arrivals[index].push(now);
      });
    }
  }
  return arrivals;
}

describe("a failure domain that comes back cold in a burst", () => {
  // Guards against: entries that know different members hold so many shares, or
  // send their first requests so close together, that cold servers crash.
  it.each([1_000, 5_000, Infinity])(
    "gets no more than it takes, and uses it (views of %d ms)",
    (viewMilliseconds) => {
      const arrivals = arrivalsOf(viewMilliseconds);
      const most = Math.max(...arrivals.map(mostInOneSecond));
      expect(most).toBeLessThanOrEqual(RATE * OVERSHOOT + SLACK);
      const perSecond = arrivals.flat().length / SERVERS / SECONDS;
      expect(perSecond).toBeGreaterThan(0.75 * RATE);
      expect(perSecond).toBeLessThan(OVERSHOOT * RATE);
      const firsts = arrivals.map(([first]) => first).sort((a, b) => a - b);
      expect(firsts[Math.floor(SERVERS / 2)]).toBeLessThan(1_000);
    },
  );
});

describe("a cold server", () => {
  const makeServer = (share: number, warmUpLeftMilliseconds = 0) =>
    new ServerLoad(
      makeRegistration({ warmUpLeftMilliseconds }),
      0,
      new ServerRestrictions((rate) => rate * share, 0.5),
    );

  it("is not limited where the configuration names no rate", () => {
    expect(makeServer(0, 9_000).millisecondsUntilAllowed(0, 0)).toBe(0);
  });

  it("gets nothing of an entry without a share until it is warm", () => {
    const server = makeServer(0, 9_000);
    expect(server.millisecondsUntilAllowed(1_000, RATE)).toBe(8_000);
    expect(server.trySpend(8_999, RATE)).toBe(false);
    expect(server.trySpend(9_000, RATE)).toBe(true);
  });

  // Guards against: a registration from before the server became cold, applied
  // again at each change of the state, makes it warm.
  it("that said so in a health check stays cold whatever is registered", () => {
    const server = makeServer(0);
    expect(server.trySpend(0, RATE)).toBe(true);
    server.recordHealthCheck(100, 3_000);
    server.updateRegistration(makeRegistration({ sequence: 2 }), 200);
    expect(server.millisecondsUntilAllowed(200, RATE)).toBe(2_900);
    server.recordHealthCheck(300);
    expect(server.isCold(300)).toBe(false);
  });

  it("stays cold by its registration unless a health check says it is warm", () => {
    const server = makeServer(0, 5_000);
    server.recordHealthCheck(100);
    expect(server.isCold(100)).toBe(true);
    server.recordHealthCheck(200, 0);
    expect(server.isCold(200)).toBe(false);
  });

  it("is left out of a placement until there is a token", () => {
    const server = makeServer(1, 9_000);
    const placeAt = (now: number) =>
      place([server], {
        serviceTimeMilliseconds: 10,
        objectiveMilliseconds: 200,
        answerBytes: 1,
        tried: new Set(),
        maximumCrossDomainCostObjectives: Infinity,
        maximumExpectedMilliseconds: Infinity,
      }, {
        now,
        random: () => 0,
        ownFailureDomain: "a",
        crossDomainCost: { roundTripMilliseconds: 1, objectivesPerMegabyte: 1 },
        connectionCost: {
          connectionsToOpen: () => 0,
          objectivesPerConnection: 0,
        },
        staleEstimate: "optimistic",
        assumedOccupancy: () => 0,
        concurrencyLimit: limitWithQueue,
        warmUpRequestsPerSecond: 2,
      });
    expect(placeAt(0)).toEqual({ kind: "held-back", milliseconds: 250 });
    expect(placeAt(250).kind).toBe("placed");
    expect(server.trySpend(250, 2)).toBe(true);
    expect(placeAt(250)).toEqual({ kind: "held-back", milliseconds: 500 });
  });
});
