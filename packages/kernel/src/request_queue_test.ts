/**
 * Simulates bursts on a small service and compares how many requests are
 * answered in time with the request queue and with a first-in-first-out queue.
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

const SERVICE_TIME_MILLISECONDS = 60;
const OBJECTIVE_MILLISECONDS = 200;
const DEADLINE_MILLISECONDS = 800;
const SLOTS = 24;
const END_MILLISECONDS = 6_000;
/** Each slot answers one request per service time. */
const CAPACITY_PER_MILLISECOND = SLOTS / SERVICE_TIME_MILLISECONDS;

type Outcome = { inTime: number; late: number; refused: number; total: number };

/** Load at a given time, as a multiple of the capacity. */
type Load = (at: number) => number;

const STEADY: Load = () => 0.8;
const BURST: Load = (at) => at >= 1_000 && at < 3_000 ? 1.6 : 0.7;
const OVERLOAD: Load = () => 1.4;

function makeRequest(fields: Partial<QueuedRequest>): QueuedRequest {
  return {
    priority: 1,
    serviceTimeMilliseconds: SERVICE_TIME_MILLISECONDS,
    arrivedAtMilliseconds: 0,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    objectiveAtMilliseconds: OBJECTIVE_MILLISECONDS,
    deadlineAtMilliseconds: DEADLINE_MILLISECONDS,
    isCallerRetry: false,
    onDequeued: () => {},
    ...fields,
  };
}

function simulate(load: Load, hasRequestQueue: boolean): Outcome {
  const generator = xoroshiro128plus(7);
  const random = () => uniformFloat64(generator);
  const queue = new RequestQueue();
  const fifo: number[] = [];
  const slots = new Array<number>(SLOTS).fill(0);
  const outcome: Outcome = { inTime: 0, late: 0, refused: 0, total: 0 };
  const answer = (arrivedAt: number, endsAt: number) => {
    const elapsed = endsAt - arrivedAt;
    if (elapsed <= OBJECTIVE_MILLISECONDS) outcome.inTime += 1;
    else if (elapsed <= DEADLINE_MILLISECONDS) outcome.late += 1;
    else outcome.refused += 1;
  };
  for (let now = 0; now < END_MILLISECONDS; now++) {
    let due = load(now) * CAPACITY_PER_MILLISECOND;
    for (; random() < due; due -= 1) {
      outcome.total += 1;
      if (!hasRequestQueue) {
        fifo.push(now);
        continue;
      }
      queue.add(makeRequest({
        arrivedAtMilliseconds: now,
        objectiveAtMilliseconds: now + OBJECTIVE_MILLISECONDS,
        deadlineAtMilliseconds: now + DEADLINE_MILLISECONDS,
      }));
    }
    outcome.refused += queue.shedLate(now).length;
    slots.forEach((freeAt, index) => {
      if (freeAt > now) return;
      const arrivedAt = hasRequestQueue
        ? queue.takeNext(now)?.arrivedAtMilliseconds
        : fifo.shift();
      if (arrivedAt === undefined) return;
      const serviceTime = SERVICE_TIME_MILLISECONDS * (0.7 + 0.6 * random());
      slots[index] = now + serviceTime;
      answer(arrivedAt, now + serviceTime);
    });
  }
  return outcome;
}

describe("the request queue under load", () => {
  it("refuses no request while there is capacity for all", () => {
    const { refused, inTime, total } = simulate(STEADY, true);
    expect(refused / total).toBeLessThan(0.01);
    expect(inTime / total).toBeGreaterThan(0.98);
  });

  it("answers more in time during a burst than a first-in-first-out queue", () => {
    const queue = simulate(BURST, true);
    const fifo = simulate(BURST, false);
    expect(queue.inTime / queue.total).toBeGreaterThan(
      fifo.inTime / fifo.total + 0.1,
    );
  });

  it("uses the capacity for answers in time under a permanent overload", () => {
    const { inTime, total } = simulate(OVERLOAD, true);
    expect(inTime / total).toBeGreaterThan(0.9 / OVERLOAD(0));
  });
});

describe("the order of the request queue", () => {
  it("dequeues requests that can be in time first, then by priority", () => {
    const queue = new RequestQueue();
    const decisions: string[] = [];
    const addNamed = (name: string, fields: Partial<QueuedRequest>) =>
      queue.add(makeRequest({
        ...fields,
        onDequeued: (decision: QueueDecision) =>
          decisions.push(`${name} ${decision}`),
      }));
    addNamed("late", { objectiveAtMilliseconds: 50, priority: 0 });
    addNamed("plain", { priority: 2 });
    addNamed("urgent", { priority: 0, objectiveAtMilliseconds: 210 });
    addNamed("returning", {
      priority: 0,
      isCallerRetry: true,
      objectiveAtMilliseconds: -300,
    });
    for (let call = 0; call < 4; call++) queue.takeNext(20)?.onDequeued("try");
    expect(decisions.slice(0, 2)).toEqual(["urgent try", "plain try"]);
    expect(decisions).toHaveLength(4);
  });

  it("sheds a late request at once while others can be in time", () => {
    const queue = new RequestQueue();
    const late = makeRequest({ objectiveAtMilliseconds: 50 });
    queue.add(late);
    expect(queue.shedLate(10)).toEqual([]);
    queue.add(makeRequest({}));
    expect(queue.shedLate(10)).toEqual([late]);
  });

  it("keeps no request for which an answer would miss the deadline", () => {
    for (let now = 0; now < DEADLINE_MILLISECONDS; now++) {
      if (isPastMaximumWait(makeRequest({}), now)) continue;
      expect(now + SERVICE_TIME_MILLISECONDS).toBeLessThanOrEqual(
        DEADLINE_MILLISECONDS,
      );
    }
  });
});
