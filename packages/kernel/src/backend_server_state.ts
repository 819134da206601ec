/**
 * What one entry believes about one backend server.
 *
 * The entry's own calls in flight are exact. Everything else is a report that
 * was stale when it arrived, so each report keeps its time of arrival and
 * the caller of these functions decides how much it still weighs.
 */
import type { BackendServerIntention } from "./intention.ts";
import type { Address } from "./types.ts";

/**
 * - `live`: may take calls.
 * - `shedding`: refused calls lately; is tried again after a pause.
 * - `failing`: connections or answers failed in a row.
 * - `leaving`: takes no new calls.
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

const BACK_OFF_START_MILLISECONDS = 50;
const BACK_OFF_LIMIT_MILLISECONDS = 5_000;
const FAILURES_TO_EJECT = 3;
const LATENCY_SMOOTHING = 0.2;

/** Mutable beliefs about one backend server; one loop, so no locks. */
export class BackendServerState {
  intention: BackendServerIntention;
  ownInFlight = 0;
  /** Own calls in flight that may have crashed a backend server before. */
  suspectsInFlight = 0;
  report: LoadReport | undefined;
  /** Smoothed time from dispatch to the whole answer. */
  latencyMilliseconds: number | undefined;
  readonly firstSeenAtMilliseconds: number;
  #startedAt: number[] = [];
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

  /** Age of the oldest own call in flight, or 0. */
  oldestInFlightAgeMilliseconds(nowMilliseconds: number): number {
    if (this.#startedAt.length === 0) return 0;
    return nowMilliseconds - this.#startedAt[0];
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
    this.#startedAt.push(nowMilliseconds);
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
    this.#forgetStart(times.startedAt);
    this.#updateHealth(end, times.now);
    if (end === "answered") this.#noteLatency(times.now - times.startedAt);
  }

  #forgetStart(startedAt: number): void {
    const index = this.#startedAt.indexOf(startedAt);
    if (index >= 0) this.#startedAt.splice(index, 1);
  }

  #noteLatency(milliseconds: number): void {
    this.#answers += 1;
    const previous = this.latencyMilliseconds ?? milliseconds;
    this.latencyMilliseconds = previous +
      LATENCY_SMOOTHING * (milliseconds - previous);
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

  #block(step: number, now: number): void {
    const backOff = BACK_OFF_START_MILLISECONDS * 2 ** Math.min(step - 1, 10);
    this.#blockedUntilMilliseconds = now +
      Math.min(backOff, BACK_OFF_LIMIT_MILLISECONDS);
  }
}
