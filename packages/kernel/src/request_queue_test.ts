/**
 * Plays bursts on a service of a few servers and checks what callers get with
 * the waiting line, beside a queue in order of arrival at the servers.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { describe, expect, it } from "vitest";
import {
  isPastMaximumWait,
  type QueueDecision,
  type QueuedRequest,
  RequestQueue,
} from "./request_queue.ts";

const WORK_MILLISECONDS = 60;
const OBJECTIVE_MILLISECONDS = 200;
const DEADLINE_MILLISECONDS = 800;
const SLOTS = 24;
const END_MILLISECONDS = 6_000;
/** Slots answer one request each in this time, so this is the capacity. */
const CAPACITY_PER_MILLISECOND = SLOTS / WORK_MILLISECONDS;

type Outcome = { inTime: number; late: number; refused: number; all: number };

/** Load as a multiple of capacity at a time. */
type Load = (at: number) => number;

const STEADY: Load = () => 0.8;
const BURST: Load = (at) => at >= 1_000 && at < 3_000 ? 1.6 : 0.7;
const OVERLOAD: Load = () => 1.4;

function ticket(given: Partial<QueuedRequest>): QueuedRequest {
  return {
    priority: 1,
    serviceTimeMilliseconds: WORK_MILLISECONDS,
    arrivedAtMilliseconds: 0,
    objectiveAtMilliseconds: OBJECTIVE_MILLISECONDS,
    deadlineAtMilliseconds: DEADLINE_MILLISECONDS,
    isCallerRetry: false,
    onDequeued: () => {},
    ...given,
  };
}

function play(load: Load, hasLine: boolean): Outcome {
  const generator = xoroshiro128plus(7);
  const random = () => uniformFloat64(generator);
  const line = new RequestQueue();
  const plain: number[] = [];
  const slots = new Array<number>(SLOTS).fill(0);
  const outcome: Outcome = { inTime: 0, late: 0, refused: 0, all: 0 };
  const answer = (arrivedAt: number, endsAt: number) => {
    const took = endsAt - arrivedAt;
    if (took <= OBJECTIVE_MILLISECONDS) outcome.inTime += 1;
    else if (took <= DEADLINE_MILLISECONDS) outcome.late += 1;
    else outcome.refused += 1;
  };
  for (let now = 0; now < END_MILLISECONDS; now++) {
    let due = load(now) * CAPACITY_PER_MILLISECOND;
    for (; random() < due; due -= 1) {
      outcome.all += 1;
      if (!hasLine) {
        plain.push(now);
        continue;
      }
      line.add(ticket({
        arrivedAtMilliseconds: now,
        objectiveAtMilliseconds: now + OBJECTIVE_MILLISECONDS,
        deadlineAtMilliseconds: now + DEADLINE_MILLISECONDS,
      }));
    }
    outcome.refused += line.shedLate(now).length;
    slots.forEach((freeAt, index) => {
      if (freeAt > now) return;
      const arrivedAt = hasLine
        ? line.takeNext(now)?.arrivedAtMilliseconds
        : plain.shift();
      if (arrivedAt === undefined) return;
      const work = WORK_MILLISECONDS * (0.7 + 0.6 * random());
      slots[index] = now + work;
      answer(arrivedAt, now + work);
    });
  }
  return outcome;
}

describe("the waiting line under load", () => {
  it("refuses nobody while there is room for all", () => {
    const { refused, inTime, all } = play(STEADY, true);
    expect(refused / all).toBeLessThan(0.01);
    expect(inTime / all).toBeGreaterThan(0.98);
  });

  it("answers more in time through a burst than arrival order", () => {
    const line = play(BURST, true);
    const plain = play(BURST, false);
    expect(line.inTime / line.all).toBeGreaterThan(
      plain.inTime / plain.all + 0.1,
    );
  });

  it("answers in time what there is room for when overloaded for good", () => {
    const { inTime, all } = play(OVERLOAD, true);
    expect(inTime / all).toBeGreaterThan(0.9 / OVERLOAD(0));
  });
});

describe("the order of the line", () => {
  it("puts who can be in time before who cannot, then the urgent", () => {
    const line = new RequestQueue();
    const turns: string[] = [];
    const named = (name: string, given: Partial<QueuedRequest>) =>
      line.add(ticket({
        ...given,
        onDequeued: (turn: QueueDecision) => turns.push(`${name} ${turn}`),
      }));
    named("late", { objectiveAtMilliseconds: 50, priority: 0 });
    named("plain", { priority: 2 });
    named("urgent", { priority: 0, objectiveAtMilliseconds: 210 });
    named("returning", { priority: 0, isCallerRetry: true });
    for (let call = 0; call < 4; call++) line.takeNext(20)?.onDequeued("try");
    expect(turns.slice(0, 2)).toEqual(["urgent try", "plain try"]);
    expect(turns).toHaveLength(4);
  });

  it("refuses a late request at once while others can be in time", () => {
    const line = new RequestQueue();
    const late = ticket({ objectiveAtMilliseconds: 50 });
    line.add(late);
    expect(line.shedLate(10)).toEqual([]);
    line.add(ticket({}));
    expect(line.shedLate(10)).toEqual([late]);
  });

  it("keeps nobody past the point where an answer could be in time", () => {
    for (let now = 0; now < DEADLINE_MILLISECONDS; now++) {
      if (isPastMaximumWait(ticket({}), now)) continue;
      expect(now + WORK_MILLISECONDS).toBeLessThanOrEqual(
        DEADLINE_MILLISECONDS,
      );
    }
  });
});
