/**
 * Requests of many entries that wait for a slot of one service, and the choice
 * of the one that gets a slot which has become free.
 *
 * Answers a load near the capacity of a service in a fleet whose entries have
 * few requests each. Such an entry seldom sees a slot become free itself, and
 * its own queue orders only its own requests. Among all that wait, a slot goes
 * first to a request that can still be in time, then by priority, then to the
 * one that has the least time left beside its own work. Those that get none are
 * refused by their entries after the maximum wait: the ones that cost their
 * callers least.
 */

import { firstAttemptLimitMilliseconds } from "./placement_goal.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { Address } from "./types.ts";

/** The first request in the queue of an entry. */
export type WaitingRequest = {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left to start the request at usual speed and be in time. */
  readonly spareMilliseconds: number;
  /** A server that is slower cannot answer soon enough. */
  readonly maximumSlowdown: number;
};

export type SlotWaiter = WaitingRequest & {
  /** Where the entry gets messages. */
  readonly entry: Address;
};

type KnownWaiter = {
  readonly waiter: SlotWaiter;
  readonly sinceMilliseconds: number;
};

/**
 * An entry repeats what it waits for within this time. Waits are short, and a
 * slot that is given to an entry that waits no longer is lost to the others.
 */
const LIFETIME_MILLISECONDS = 120;

/** What the fleet is told of a queued request. */
export function waitingRequestOf(
  request: QueuedRequest,
  now: number,
): WaitingRequest {
  const { priority, serviceTimeMilliseconds: serviceTime } = request;
  const leftOfObjective = request.objectiveAtMilliseconds - now;
  const spareMilliseconds = leftOfObjective - serviceTime;
  const allowedMilliseconds = spareMilliseconds >= 0
    ? firstAttemptLimitMilliseconds(leftOfObjective)
    : request.deadlineAtMilliseconds - now;
  return {
    priority,
    spareMilliseconds,
    maximumSlowdown: Math.max(0, allowedMilliseconds / serviceTime),
  };
}

export class SlotWaiters {
  readonly #known = new Map<Address, KnownWaiter>();

  /** Adds a waiter, in place of an earlier one of the same entry. */
  add(waiter: SlotWaiter, now: number): void {
    this.#known.set(waiter.entry, { waiter, sinceMilliseconds: now });
  }

  size(now: number): number {
    this.#dropExpired(now);
    return this.#known.size;
  }

  /**
   * Removes and returns the waiter that gets a slot of a server with the given
   * slowdown; undefined if it is too slow for all of them.
   */
  take(slowdown: number, now: number): SlotWaiter | undefined {
    this.#dropExpired(now);
    let best: KnownWaiter | undefined;
    for (const known of this.#known.values()) {
      if (slowdown > known.waiter.maximumSlowdown) continue;
      if (best === undefined || isBefore(known, best, now)) best = known;
    }
    if (best !== undefined) this.#known.delete(best.waiter.entry);
    return best?.waiter;
  }

  #dropExpired(now: number): void {
    for (const [entry, { sinceMilliseconds }] of this.#known) {
      const age = now - sinceMilliseconds;
      if (age > LIFETIME_MILLISECONDS) this.#known.delete(entry);
    }
  }
}

function isBefore(left: KnownWaiter, right: KnownWaiter, now: number): boolean {
  const leftSpare = spareMillisecondsAt(left, now);
  const rightSpare = spareMillisecondsAt(right, now);
  const isLeftTimely = leftSpare >= 0;
  if (isLeftTimely !== rightSpare >= 0) return isLeftTimely;
  const { priority } = left.waiter;
  if (priority !== right.waiter.priority) {
    return priority < right.waiter.priority;
  }
  return leftSpare < rightSpare;
}

function spareMillisecondsAt(
  { waiter, sinceMilliseconds }: KnownWaiter,
  now: number,
): number {
  return waiter.spareMilliseconds - (now - sinceMilliseconds);
}
