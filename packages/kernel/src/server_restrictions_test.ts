/**
 * Tests what entries send a backend server that limits its requests, on a
 * virtual clock.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { limitRank, shareOfLimit } from "./limit_share.ts";
import {
  type RequestLimit,
  ServerRestrictions,
} from "./server_restrictions.ts";

const WINDOW_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 20;

/** The stated bound on the requests of the fleet in any window. */
function allowedInWindow(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MILLISECONDS / 1_000 + 5;
}

function mostInWindow(arrivals: readonly number[]): number {
  let most = 0;
  let first = 0;
  arrivals.forEach((at, last) => {
    while (at - arrivals[first] > WINDOW_MILLISECONDS) first += 1;
    most = Math.max(most, last - first + 1);
  });
  return most;
}

type FleetRun = {
  readonly entries: number;
  readonly limit: number;
  /** Whether entry `index` has a request for the server at a time. */
  readonly hasRequest: (index: number, at: number) => boolean;
  /** Entries that the others consider live at a time. */
  readonly liveAt?: (at: number) => readonly string[];
};

/** Arrivals at a server in half a minute after all entries know its limit. */
function arrivalsOf({ entries, limit, hasRequest, liveAt }: FleetRun) {
  let now = 0;
  const names = Array.from({ length: entries }, (_, index) => `entry-${index}`);
  const fleet = names.map((name, index) => {
    const initialRank = limitRank("server", name, names);
    const restrictions = new ServerRestrictions((requestsPerSecond) => {
      const rank = liveAt === undefined
        ? initialRank
        : limitRank("server", name, liveAt(now));
      return shareOfLimit(requestsPerSecond, rank);
    }, index / entries);
    restrictions.recordStatement({ requestLimit: limit }, 0);
    return restrictions;
  });
  const arrivals: number[] = [];
  for (; now < 30_000; now += STEP_MILLISECONDS) {
    fleet.forEach((restrictions, index) => {
      if (!hasRequest(index, now)) return;
      const before = arrivals.length;
      while (restrictions.trySpend(now)) arrivals.push(now);
      if (arrivals.length === before) return;
      // Peers repeat what the server says to each other.
      for (const each of fleet) {
        each.recordStatement({ requestLimit: limit }, now);
      }
    });
  }
  return arrivals;
}

describe("a limit", () => {
  for (const entries of [1, 12, 107, 313]) {
    for (const limit of [0, 0.3, 1.7, 2.4, 12, 90]) {
      it(`of ${limit}/s is kept and used by ${entries} entries`, () => {
        const arrivals = arrivalsOf({
          entries,
          limit,
          hasRequest: () => true,
        });
        expect(mostInWindow(arrivals)).toBeLessThanOrEqual(
          allowedInWindow(limit),
        );
        expect(arrivals.length / 30).toBeGreaterThan(0.7 * limit);
      });
    }
  }

  it("is kept when all entries begin to send at once after a pause", () => {
    for (const entries of [12, 107, 313]) {
      const arrivals = arrivalsOf({
        entries,
        limit: 2.4,
        hasRequest: (_, at) => at % 9_000 > 6_000,
      });
      expect(mostInWindow(arrivals)).toBeLessThanOrEqual(allowedInWindow(2.4));
    }
  });

  it("is kept while entries are replaced one after the other", () => {
    const arrivals = arrivalsOf({
      entries: 40,
      limit: 2.4,
      hasRequest: (index, at) => isLive(index, at),
      liveAt: (at) =>
        Array.from({ length: 40 }, (_, index) => `entry-${index}`).filter((
          _,
          index,
        ) => isLive(index, at)),
    });
    expect(mostInWindow(arrivals)).toBeLessThanOrEqual(allowedInWindow(2.4));

    function isLive(index: number, at: number): boolean {
      const replaced = Math.floor(at / 1_000);
      return index >= replaced && index < 18 + replaced;
    }
  });

  it("ends with the first answer that names none", () => {
    const restrictions = new ServerRestrictions(() => 0);
    restrictions.recordStatement({ requestLimit: 2 }, 100);
    expect(restrictions.millisecondsUntilAllowed(200)).toBe(Infinity);
    restrictions.recordStatement({ requestLimit: "none" }, 50);
    expect(restrictions.trySpend(210)).toBe(false);
    restrictions.recordStatement({ requestLimit: "unreadable" }, 220);
    expect(restrictions.trySpend(230)).toBe(false);
    restrictions.recordStatement({ requestLimit: "none" }, 240);
    expect(restrictions.trySpend(250)).toBe(true);
  });

  it("is asked for again by one request when nothing is heard of it", () => {
    const restrictions = new ServerRestrictions(() => 0);
    restrictions.recordStatement({ requestLimit: 2 }, 0);
    expect(restrictions.trySpend(10_000)).toBe(false);
    expect(restrictions.trySpend(30_000)).toBe(true);
    expect(restrictions.trySpend(30_100)).toBe(false);
  });

  it("is kept under any series of statements and pauses of the clock", () => {
    const step = fc.record({
      pause: fc.integer({ min: 0, max: 8_000 }),
      requestLimit: fc.oneof(
        fc.constant<RequestLimit>("none"),
        fc.double({ min: 0, max: 50, noNaN: true }),
      ),
      tries: fc.integer({ min: 0, max: 100 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const restrictions = new ServerRestrictions();
        let now = 0;
        for (const { pause, requestLimit, tries } of steps) {
          now += pause;
          restrictions.recordStatement({ requestLimit }, now);
          let sent = 0;
          for (let count = 0; count < tries; count++) {
            if (restrictions.trySpend(now)) sent += 1;
          }
          if (requestLimit === "none") expect(sent).toBe(tries);
          else expect(sent).toBeLessThanOrEqual(Math.max(1, requestLimit));
          const wait = restrictions.millisecondsUntilAllowed(now);
          expect(wait).toBeGreaterThanOrEqual(0);
        }
      }),
      { seed: 24, numRuns: 500 },
    );
  });
});

describe("a server that leaves", () => {
  const USE_MILLISECONDS = 1_000;

  it("may get requests for a time from its first statement, and none after it", () => {
    const statement = fc.record({
      at: fc.integer({ min: 0, max: 20_000 }),
      says: fc.constantFrom("leaving", "nothing", "limit"),
    });
    fc.assert(
      fc.property(fc.array(statement), (statements) => {
        const restrictions = new ServerRestrictions(
          (limit) => limit,
          0,
          USE_MILLISECONDS,
        );
        let leavingSince = Infinity;
        for (const { at, says } of statements) {
          if (says === "leaving") {
            leavingSince = Math.min(leavingSince, at);
            restrictions.recordLeaving(at);
          } else {
            const requestLimit = says === "limit" ? 100 : "none";
            restrictions.recordStatement({ requestLimit }, at);
          }
        }
        const end = leavingSince + USE_MILLISECONDS;
        expect(restrictions.isLeaving).toBe(leavingSince !== Infinity);
        if (leavingSince === Infinity) return;
        for (const now of [end, end + 1, end + 1_000_000]) {
          expect(restrictions.millisecondsUntilAllowed(now)).toBe(Infinity);
          expect(restrictions.trySpend(now)).toBe(false);
        }
        if (restrictions.requestLimit === "none") {
          expect(restrictions.trySpend(end - 1)).toBe(true);
        }
      }),
      { seed: 38 },
    );
  });
});

describe("a server that asks for pauses", () => {
  it("gets nothing until the end of the longest, and is soon used again", () => {
    const pause = fc.record({
      after: fc.integer({ min: 0, max: 3_000 }),
      milliseconds: fc.integer({ min: 0, max: 100_000 }),
    });
    fc.assert(
      fc.property(
        fc.array(pause),
        fc.double({ min: 0, max: 0.99, noNaN: true }),
        (pauses, spread) => {
          const restrictions = new ServerRestrictions(
            undefined,
            spread,
          );
          let now = 0;
          let until = -Infinity;
          for (const { after, milliseconds } of pauses) {
            now += after;
            restrictions.recordPause(milliseconds, now);
            if (milliseconds === 0) continue;
            until = Math.max(until, now + Math.min(milliseconds, 60_000));
          }
          if (now < until) {
            expect(restrictions.isPaused(until - 1)).toBe(true);
            expect(restrictions.trySpend(until - 1)).toBe(false);
          }
          const isUsedAgain = restrictions.trySpend(Math.max(now, until) + 300);
          expect(isUsedAgain).toBe(true);
        },
      ),
      { seed: 38 },
    );
  });

  it("still has its limit after a pause", () => {
    const restrictions = new ServerRestrictions();
    restrictions.recordStatement({ requestLimit: 1 }, 0);
    restrictions.recordPause(2_000, 0);
    expect(restrictions.millisecondsUntilAllowed(0)).toBe(2_000);
    expect(restrictions.trySpend(2_000)).toBe(true);
    expect(restrictions.trySpend(2_000)).toBe(false);
  });
});
