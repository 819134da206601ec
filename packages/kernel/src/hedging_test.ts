/**
 * Plays requests on servers that turn four times slower at random moments and
 * checks what callers get, with and without a second send.
 */
import { describe, expect, it } from "vitest";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { decideHedge, hedgeDelayMilliseconds } from "./hedging.ts";

const OBJECTIVE_MILLISECONDS = 200;
const WORK_MILLISECONDS = 60;
const PHASE_MILLISECONDS = 300;
const SLOW_SHARE = 0.35;
const SLOWDOWN = 4;
const STEP_MILLISECONDS = 1;
const RECHECK_MILLISECONDS = 15;
const REQUESTS = 4_000;

/** A server whose machine draws its speed anew at each phase. */
function makeServer(random: () => number, isSlowAtFirst: boolean) {
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

function play(isHedging: boolean) {
  const generator = xoroshiro128plus(42);
  const random = () => uniformFloat64(generator);
  let inTime = 0;
  let second = 0;
  for (let request = 0; request < REQUESTS; request++) {
    const work = WORK_MILLISECONDS * (0.6 + 0.8 * random());
    const first = makeServer(random, false);
    let left = work;
    let other: { speed: (at: number) => number; left: number } | undefined;
    let nextCheck = hedgeDelayMilliseconds(
      OBJECTIVE_MILLISECONDS,
      WORK_MILLISECONDS,
    );
    let at = 0;
    for (; at < 2_000 && left > 0 && (other?.left ?? 1) > 0; at++) {
      left -= STEP_MILLISECONDS / first(at);
      if (other !== undefined) {
        other.left -= STEP_MILLISECONDS / other.speed(at);
      }
      if (!isHedging || other !== undefined || at < nextCheck) continue;
      nextCheck = at + RECHECK_MILLISECONDS;
      const decision = decideHedge({
        elapsedMilliseconds: at,
        objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
        serviceTimeMilliseconds: WORK_MILLISECONDS,
        firstServerSlowdown: first(at),
      });
      if (decision !== "send") continue;
      second += 1;
      other = { speed: makeServer(random, false), left: work };
    }
    if (at <= OBJECTIVE_MILLISECONDS) inTime += 1;
  }
  return { inTime: inTime / REQUESTS, second: second / REQUESTS };
}

describe("hedging", () => {
  it("answers most requests in time that turned slow, at few sends", () => {
    const without = play(false);
    const hedged = play(true);
    const lateBefore = 1 - without.inTime;
    const lateAfter = 1 - hedged.inTime;
    expect(lateBefore).toBeGreaterThan(0.01);
    expect(lateAfter).toBeLessThan(lateBefore / 2);
    expect(hedged.second).toBeLessThan(0.16);
  });

  it("does not send again what no server can answer in time", () => {
    expect(decideHedge({
      elapsedMilliseconds: 180,
      objectiveMilliseconds: 200,
      serviceTimeMilliseconds: 60,
      firstServerSlowdown: 4,
    })).toBe("late");
  });
});
