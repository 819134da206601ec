/**
 * Simulates requests on servers that become four times slower at random times,
 * and compares how many are answered in time with and without hedges.
 */
import { describe, expect, it } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { decideHedge, hedgeDelayMilliseconds } from "./hedging.ts";

const OBJECTIVE_MILLISECONDS = 200;
const SERVICE_TIME_MILLISECONDS = 60;
const PHASE_MILLISECONDS = 300;
const SLOW_SHARE = 0.35;
const SLOWDOWN = 4;
const STEP_MILLISECONDS = 1;
const RECHECK_MILLISECONDS = 15;
const REQUESTS = 4_000;

/** Slowdown of a server over time, drawn at random for each phase. */
function makeSlowdown(random: () => number, isSlowAtFirst: boolean) {
  const offset = random() * PHASE_MILLISECONDS;
  const phases = [isSlowAtFirst];
  for (let index = 0; index < 10; index++) {
    phases.push(random() < SLOW_SHARE);
  }
  return (at: number) => {
    const phase = Math.floor((at + offset) / PHASE_MILLISECONDS);
    return phases[phase] ? SLOWDOWN : 1;
  };
}

function simulate(isHedging: boolean) {
  const generator = xoroshiro128plus(42);
  const random = () => uniformFloat64(generator);
  let inTime = 0;
  let hedgeCount = 0;
  for (let request = 0; request < REQUESTS; request++) {
    const serviceTime = SERVICE_TIME_MILLISECONDS * (0.6 + 0.8 * random());
    const first = makeSlowdown(random, false);
    let remaining = serviceTime;
    let hedge:
      | { slowdown: (at: number) => number; remaining: number }
      | undefined;
    let nextCheck = hedgeDelayMilliseconds(
      OBJECTIVE_MILLISECONDS,
      SERVICE_TIME_MILLISECONDS,
    );
    let at = 0;
    for (; at < 2_000 && remaining > 0 && (hedge?.remaining ?? 1) > 0; at++) {
      remaining -= STEP_MILLISECONDS / first(at);
      if (hedge !== undefined) {
        hedge.remaining -= STEP_MILLISECONDS / hedge.slowdown(at);
      }
      if (!isHedging || hedge !== undefined || at < nextCheck) continue;
      nextCheck = at + RECHECK_MILLISECONDS;
      const decision = decideHedge({
        elapsedMilliseconds: at,
        objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
        serviceTimeMilliseconds: SERVICE_TIME_MILLISECONDS,
        firstServer: { atStart: undefined, current: first(at) },
      });
      if (decision !== "send") continue;
      hedgeCount += 1;
      hedge = { slowdown: makeSlowdown(random, false), remaining: serviceTime };
    }
    if (at <= OBJECTIVE_MILLISECONDS) inTime += 1;
  }
  return { inTime: inTime / REQUESTS, hedgeRate: hedgeCount / REQUESTS };
}

describe("hedging", () => {
  it("more than halves the late requests, with few hedges", () => {
    const without = simulate(false);
    const hedged = simulate(true);
    const lateBefore = 1 - without.inTime;
    const lateAfter = 1 - hedged.inTime;
    expect(lateBefore).toBeGreaterThan(0.01);
    expect(lateAfter).toBeLessThan(lateBefore / 2);
    expect(hedged.hedgeRate).toBeLessThan(0.16);
  });

  it("does not hedge a request that no server can answer in time", () => {
    expect(decideHedge({
      elapsedMilliseconds: 180,
      objectiveMilliseconds: 200,
      serviceTimeMilliseconds: 60,
      firstServer: { atStart: undefined, current: 4 },
    })).toBe("late");
  });

  it("does not hedge for a slow phase that began after the start", () => {
    const long = {
      elapsedMilliseconds: 1_340,
      objectiveMilliseconds: 2_500,
      serviceTimeMilliseconds: 920,
    };
    expect(decideHedge({ ...long, firstServer: { atStart: 1, current: 4 } }))
      .toBe("wait");
    expect(decideHedge({ ...long, firstServer: { atStart: 4, current: 1 } }))
      .toBe("send");
    expect(decideHedge({ ...long, firstServer: undefined })).toBe("send");
  });
});
