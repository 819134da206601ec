/**
 * An entry's estimate of the load and health of one backend server.
 *
 * The entry's own calls in flight are exact. Everything else comes from reports
 * that were stale when they arrived, so each report is stored with its time of
 * arrival and the choosing policy decides how much weight it still has.
 */
import type { BackendServerIntention } from "./intention.ts";
import type { Address } from "./types.ts";

/**
 * - `live`: may receive calls.
 * - `shedding`: refused its latest call; no calls until the back-off ends.
 * - `failing`: ejected after consecutive failures, until the back-off ends.
 * - `leaving`: receives no new calls.
 */
export type BackendServerCondition =
  | "live"
  | "shedding"
  | "failing"
  | "leaving";

/** How an attempt at a backend server ended. */
export type AttemptEnd =
  | "answered"
  | "error-answer"
  | "refused-shedding"
  | "refused-leaving"
  | "connect-failed"
  | "broken"
  | "timed-out"
  | "cancelled";

export type LoadReport = {
  /** Calls in flight at the backend server, from all entries. */
  readonly inFlight: number;
  readonly receivedAtMilliseconds: number;
  /** Own calls in flight when the report arrived. */
  readonly ownInFlight: number;
};

const MINIMUM_BACK_OFF_MILLISECONDS = 50;
const MAXIMUM_BACK_OFF_MILLISECONDS = 5_000;
const FAILURES_TO_EJECT = 3;
const LATENCY_SMOOTHING_FACTOR = 0.2;

/** Mutable state; needs no locks, as the event loop is single-threaded. */
export class BackendServerState {
  intention: BackendServerIntention;
  ownInFlight = 0;
  /** Own calls in flight that are suspected of having crashed a server. */
  suspectsInFlight = 0;
  report: LoadReport | undefined;
  /** Moving average of the time from dispatch to the complete answer. */
  latencyMilliseconds: number | undefined;
  readonly firstSeenAtMilliseconds: number;
  #startTimes: number[] = [];
  #isLeaving = false;
  #consecutiveFailures = 0;
  #consecutiveRefusals = 0;
  #blockedUntilMilliseconds = 0;
  #answers = 0;

  constructor(intention: BackendServerIntention, nowMilliseconds: number) {
    this.intention = intention;
    this.firstSeenAtMilliseconds = nowMilliseconds;
  }

  get address(): Address {
    return this.intention.address;
  }

  get answers(): number {
    return this.#answers;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Age of the oldest own call in flight; 0 without one. */
  oldestInFlightAgeMilliseconds(nowMilliseconds: number): number {
    if (this.#startTimes.length === 0) return 0;
    return nowMilliseconds - this.#startTimes[0];
  }

  condition(nowMilliseconds: number): BackendServerCondition {
    if (this.#isLeaving) return "leaving";
    if (nowMilliseconds >= this.#blockedUntilMilliseconds) return "live";
    return this.#consecutiveRefusals > 0 ? "shedding" : "failing";
  }

  setLeaving(isLeaving: boolean): void {
    this.#isLeaving = isLeaving;
  }

  recordStart(nowMilliseconds: number): void {
    this.ownInFlight += 1;
    this.#startTimes.push(nowMilliseconds);
  }

  recordReport(inFlight: number, nowMilliseconds: number): void {
    this.report = {
      inFlight,
      receivedAtMilliseconds: nowMilliseconds,
      ownInFlight: this.ownInFlight,
    };
  }

  recordEnd(
    end: AttemptEnd,
    times: { startedAt: number; now: number },
  ): void {
    this.ownInFlight -= 1;
    this.#removeStartTime(times.startedAt);
    this.#updateHealth(end, times.now);
    if (end === "answered") this.#recordLatency(times.now - times.startedAt);
  }

  #removeStartTime(startedAt: number): void {
    const index = this.#startTimes.indexOf(startedAt);
    if (index >= 0) this.#startTimes.splice(index, 1);
  }

  #recordLatency(milliseconds: number): void {
    this.#answers += 1;
    const previous = this.latencyMilliseconds ?? milliseconds;
    this.latencyMilliseconds = previous +
      LATENCY_SMOOTHING_FACTOR * (milliseconds - previous);
  }

  #updateHealth(end: AttemptEnd, now: number): void {
    switch (end) {
      case "answered":
        this.#consecutiveFailures = 0;
        this.#consecutiveRefusals = 0;
        return;
      case "refused-shedding":
        this.#consecutiveRefusals += 1;
        this.#block(this.#consecutiveRefusals, now);
        return;
      case "refused-leaving":
        this.#isLeaving = true;
        return;
      case "error-answer":
      case "connect-failed":
      case "broken":
      case "timed-out":
        this.#consecutiveFailures += 1;
        if (this.#consecutiveFailures < FAILURES_TO_EJECT) return;
        this.#block(this.#consecutiveFailures - FAILURES_TO_EJECT + 1, now);
        return;
      case "cancelled":
        return;
    }
  }

  #block(consecutiveCount: number, now: number): void {
    const backOff = MINIMUM_BACK_OFF_MILLISECONDS *
      2 ** Math.min(consecutiveCount - 1, 10);
    this.#blockedUntilMilliseconds = now +
      Math.min(backOff, MAXIMUM_BACK_OFF_MILLISECONDS);
  }
}
