/**
 * Tests which waiting request gets a slot that has become free.
 */
import { describe, expect, it } from "vitest";
import { SlotWaiters, waitingRequestOf } from "./slot_waiters.ts";

const NOW = 1_000;

function makeWaiters(
  waiting: Readonly<
    Record<
      string,
      Partial<{
        priority: number;
        spareMilliseconds: number;
        maximumSlowdown: number;
      }>
    >
  >,
): SlotWaiters {
  const waiters = new SlotWaiters();
  for (const [entry, fields] of Object.entries(waiting)) {
    waiters.add({
      entry,
      priority: 1,
      spareMilliseconds: 100,
      maximumSlowdown: 3,
      ...fields,
    }, NOW);
  }
  return waiters;
}

function order(waiters: SlotWaiters, slowdown = 1, now = NOW): string[] {
  const taken: string[] = [];
  for (;;) {
    const waiter = waiters.take(slowdown, now);
    if (waiter === undefined) return taken;
    taken.push(waiter.entry);
  }
}

describe("a free slot", () => {
  it("goes to requests that can be in time, then by priority and time left", () => {
    const waiters = makeWaiters({
      late: { priority: 0, spareMilliseconds: -10 },
      patient: { spareMilliseconds: 300 },
      pressing: { spareMilliseconds: 20 },
      urgent: { priority: 0, spareMilliseconds: 300 },
    });
    expect(order(waiters)).toEqual(["urgent", "pressing", "patient", "late"]);
  });

  it("counts the time since a request was told", () => {
    const waiters = makeWaiters({
      early: { priority: 0, spareMilliseconds: 30 },
      other: { spareMilliseconds: 200 },
    });
    expect(order(waiters, 1, NOW + 50)).toEqual(["other", "early"]);
  });

  // Guards against: a slot of a slow server is given to a request that refuses
  // it, while another one could be served there.
  it("of a slow server goes only to a request that can use it", () => {
    const waiters = makeWaiters({
      pressing: { spareMilliseconds: 10, maximumSlowdown: 1.5 },
      patient: { spareMilliseconds: 900, maximumSlowdown: 5 },
    });
    expect(order(waiters, 4)).toEqual(["patient"]);
    expect(waiters.size(NOW)).toBe(1);
  });

  it("goes to no request that was not told again", () => {
    const waiters = makeWaiters({ gone: {} });
    expect(order(waiters, 1, NOW + 500)).toEqual([]);
  });
});

it("a request that can be late is told as usable by slower servers", () => {
  const request = {
    priority: 2,
    serviceTimeMilliseconds: 100,
    objectiveMilliseconds: 300,
    arrivedAtMilliseconds: NOW,
    objectiveAtMilliseconds: NOW + 300,
    deadlineAtMilliseconds: NOW + 900,
    isCallerRetry: false,
    onDequeued: () => {},
  };
  const timely = waitingRequestOf(request, NOW);
  expect(timely).toMatchObject({ priority: 2, spareMilliseconds: 200 });
  expect(timely.maximumSlowdown).toBeCloseTo(3.6);
  expect(waitingRequestOf(request, NOW + 250).maximumSlowdown).toBe(6.5);
});
