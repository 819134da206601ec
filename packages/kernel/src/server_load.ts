/**
 * An entry's estimate of the load and health of one backend server.
 *
 * The number of requests at the server is the sum of what all entries have in
 * flight: the entry's own count is exact, those of its peers are as old as
 * their last message. A very recent report by the server replaces this sum; for
 * a short time after that it can only raise it, in case messages of peers are
 * missing. The current slowdown of the machine is known only from reports, and
 * a report loses its weight within a few hundred milliseconds.
 */
import { ServerRestrictions } from "./server_restrictions.ts";
import type { ServerRegistration } from "./routing_snapshot.ts";

/** Load report that a backend server attaches to answers and health checks. */
export type ServerReport = {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current service time relative to the usual one; 1 is the usual speed. */
  readonly slowdown: number;
};

/**
 * Outcome of an attempt or probe as evidence of the server's health.
 *
 * - `refused`: the server has no capacity; it is avoided only briefly.
 * - `silent`: no answer in time; counts as a failure.
 * - `inconclusive`: says nothing about the server's health.
 */
export type ServerOutcome =
  | "answered"
  | "failed"
  | "refused"
  | "silent"
  | "inconclusive";

type TimestampedReport = ServerReport & { readonly atMilliseconds: number };
type PeerCount = { readonly count: number; readonly atMilliseconds: number };

/** Up to this age a report is more accurate than the counts of peers. */
const EXACT_REPORT_AGE_MILLISECONDS = 40;
/** Older reports are not used to count requests. */
const COUNTED_REPORT_AGE_MILLISECONDS = 150;
/**
 * Time constant of the decay of a reported slowdown. Load phases of shared
 * machines last about 300 ms in production.
 */
const SLOWDOWN_DECAY_MILLISECONDS = 300;
/** Counts of peers expire after this time; peers repeat them within it. */
export const PEER_COUNT_LIFETIME_MILLISECONDS = 1_000;
/** Half-life of the failure rate. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_000;
/** Weight of the newest outcome in the failure rate. */
const FAILURE_SMOOTHING = 0.25;
/** Consecutive failures after which a server is ejected for a while. */
const FAILURES_TO_EJECT = 3;
const MINIMUM_EJECTION_MILLISECONDS = 500;
const MAXIMUM_EJECTION_MILLISECONDS = 4_000;
/** A health check says sooner whether the server is cold. */
const UNKNOWN_WARMTH_MILLISECONDS = 300;
/** A full server has capacity again after about the time of one request. */
const REFUSAL_BLOCK_MILLISECONDS = 60;

export class ServerLoad {
  registration: ServerRegistration;
  readonly restrictions: ServerRestrictions;
  readonly #ownAttempts = new Set<object>();
  /** Attempts of this entry that were started since the last report. */
  #sentSinceReport = 0;
  #report: TimestampedReport | undefined;
  #isWithoutReports = false;
  #peerCounts = new Map<string, PeerCount>();
  /** When the server is warm by its registration, and by a health check. */
  #warmAtMilliseconds: number;
  #statedWarmAtMilliseconds = -Infinity;
  /** Whether the server counts as cold because nothing recent says otherwise. */
  #isWarmthUnknown = false;
  #lastFailureRate = 0;
  #lastOutcomeAtMilliseconds = 0;
  #consecutiveFailures = 0;
  #ejections = 0;
  #blockedUntilMilliseconds = -Infinity;
  #isReportedUnhealthy = false;

  constructor(
    registration: ServerRegistration,
    now: number,
    restrictions: ServerRestrictions = new ServerRestrictions(),
  ) {
    this.registration = registration;
    this.restrictions = restrictions;
    this.#warmAtMilliseconds = now + registration.warmUpLeftMilliseconds;
  }

  /**
   * Applies a registration of the same process of the server. One that is known
   * already says nothing new, although its warm-up is counted from its arrival.
   */
  updateRegistration(registration: ServerRegistration, now: number): void {
    const isNews = registration.sequence !== this.registration.sequence;
    this.registration = registration;
    if (!isNews) return;
    this.#isWarmthUnknown = false;
    this.#warmAtMilliseconds = now + registration.warmUpLeftMilliseconds;
  }

  get slots(): number {
    return this.registration.slots;
  }

  get ownInFlight(): number {
    return this.#ownAttempts.size;
  }

  get isReportedUnhealthy(): boolean {
    return this.#isReportedUnhealthy;
  }

  reportAgeMilliseconds(now: number): number {
    if (this.#report === undefined) return Infinity;
    return now - this.#report.atMilliseconds;
  }

  /** Whether the last report is recent enough to count requests. */
  isReportCounted(now: number): boolean {
    return this.reportAgeMilliseconds(now) <= COUNTED_REPORT_AGE_MILLISECONDS;
  }

  isCold(now: number): boolean {
    return this.#coldMilliseconds(now) > 0;
  }

  /** How long the server stays cold, as far as is known; 0 if it is warm. */
  #coldMilliseconds(now: number): number {
    return Math.max(
      this.#isWarmthUnknown ? UNKNOWN_WARMTH_MILLISECONDS : 0,
      this.#warmAtMilliseconds - now,
      this.#statedWarmAtMilliseconds - now,
    );
  }

  /**
   * Milliseconds until this entry may send the server a request: 0 if it may
   * now, `Infinity` if that is not foreseeable. While cold, the server takes
   * `warmUpRequestsPerSecond` from all entries together; 0 is no limit.
   */
  millisecondsUntilAllowed(now: number, warmUpRequestsPerSecond = 0): number {
    const { restrictions } = this;
    const milliseconds = restrictions.millisecondsUntilAllowed(now);
    if (warmUpRequestsPerSecond === 0) return milliseconds;
    const cold = this.#coldMilliseconds(now);
    const untilToken = restrictions.warmUpLimit.millisecondsUntilAllowed(
      warmUpRequestsPerSecond,
      cold > 0,
      now,
    );
    return Math.max(milliseconds, Math.min(cold, untilToken));
  }

  /** Uses up the permission for one request; returns false if there is none. */
  trySpend(now: number, warmUpRequestsPerSecond = 0): boolean {
    if (this.millisecondsUntilAllowed(now, warmUpRequestsPerSecond) > 0) {
      return false;
    }
    const isLimited = warmUpRequestsPerSecond > 0 && this.isCold(now);
    if (isLimited) this.restrictions.warmUpLimit.spend();
    return this.restrictions.trySpend(now);
  }

  /** Whether the server counts as cold until it is asked. */
  get isWarmthUnknown(): boolean {
    return this.#isWarmthUnknown;
  }

  /**
   * Counts the server as cold until a health check or a new registration: it
   * has had no requests for a while, and its registration may be older.
   */
  forgetWarmth(): void {
    this.#isWarmthUnknown = true;
  }

  /**
   * Records for how long the server stays cold, as it says in an answer to a
   * health check, which is newer than any registration. An answer that says
   * nothing ends only what an earlier one said, as some servers state their
   * warm-up in registrations alone.
   */
  recordHealthCheck(now: number, warmUpMilliseconds?: number): void {
    this.#isWarmthUnknown = false;
    this.#statedWarmAtMilliseconds = now + (warmUpMilliseconds ?? 0);
    if (warmUpMilliseconds !== undefined) this.#warmAtMilliseconds = now;
  }

  /**
   * Whether the server is ejected after failures or avoided after a refusal.
   */
  isBlocked(now: number): boolean {
    return now < this.#blockedUntilMilliseconds;
  }

  /** Estimated number of requests at the server, running or queued. */
  load(now: number): number {
    let counted = this.ownInFlight;
    for (const [peer, { count, atMilliseconds }] of this.#peerCounts) {
      if (now - atMilliseconds > PEER_COUNT_LIFETIME_MILLISECONDS) {
        this.#peerCounts.delete(peer);
      } else counted += count;
    }
    if (this.#report === undefined) return counted;
    const age = this.reportAgeMilliseconds(now);
    if (age > COUNTED_REPORT_AGE_MILLISECONDS) return counted;
    const { running, waiting } = this.#report;
    const reported = running + waiting + this.#sentSinceReport;
    if (age <= EXACT_REPORT_AGE_MILLISECONDS) return reported;
    return Math.max(counted, reported);
  }

  /** Current slowdown, which decays to `usual` as the last report ages. */
  slowdown(now: number, usual: number): number {
    if (this.#report === undefined) return usual;
    const age = this.reportAgeMilliseconds(now);
    const weight = Math.exp(-age / SLOWDOWN_DECAY_MILLISECONDS);
    return usual + (this.#report.slowdown - usual) * weight;
  }

  /** Smoothed share of recent attempts that failed. */
  failureRate(now: number): number {
    const age = now - this.#lastOutcomeAtMilliseconds;
    return this.#lastFailureRate * 2 ** (-age / FAILURE_HALF_LIFE_MILLISECONDS);
  }

  /** Records a report; returns false if it is not newer than the last one. */
  recordReport(report: ServerReport, atMilliseconds: number): boolean {
    const lastReportAt = this.#report?.atMilliseconds ?? -Infinity;
    if (atMilliseconds <= lastReportAt) return false;
    this.#report = { ...report, atMilliseconds };
    this.#sentSinceReport = 0;
    this.#isWithoutReports = false;
    return true;
  }

  /** Records an answer to a probe that told no load. */
  recordMissingReport(): void {
    if (this.#report === undefined) this.#isWithoutReports = true;
  }

  /** Whether a probe is expected to bring a report. */
  get mayReport(): boolean {
    return !this.#isWithoutReports;
  }

  get lastReport(): TimestampedReport | undefined {
    return this.#report;
  }

  recordPeerInFlight(peer: string, count: number, now: number): void {
    if (count === 0) this.#peerCounts.delete(peer);
    else this.#peerCounts.set(peer, { count, atMilliseconds: now });
  }

  recordReportedHealth(isHealthy: boolean): void {
    this.#isReportedUnhealthy = !isHealthy;
  }

  /**
   * Records an attempt of this entry; the same object is passed to `recordEnd`.
   */
  recordStart(attempt: object): void {
    this.#ownAttempts.add(attempt);
    this.#sentSinceReport += 1;
  }

  recordEnd(attempt: object, outcome: ServerOutcome, now: number): void {
    this.#ownAttempts.delete(attempt);
    this.recordOutcome(outcome, now);
  }

  recordOutcome(outcome: ServerOutcome, now: number): void {
    if (outcome === "inconclusive") return;
    if (outcome === "refused") {
      this.#block(REFUSAL_BLOCK_MILLISECONDS, now);
      return;
    }
    const hasFailed = outcome !== "answered";
    this.#lastFailureRate = this.failureRate(now) * (1 - FAILURE_SMOOTHING) +
      (hasFailed ? FAILURE_SMOOTHING : 0);
    this.#lastOutcomeAtMilliseconds = now;
    if (hasFailed) this.#recordFailure(now);
    else this.#recordAnswer();
  }

  #recordAnswer(): void {
    this.#consecutiveFailures = 0;
    this.#ejections = 0;
  }

  #recordFailure(now: number): void {
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures < FAILURES_TO_EJECT) return;
    this.#consecutiveFailures = FAILURES_TO_EJECT - 1;
    const ejectionMilliseconds = MINIMUM_EJECTION_MILLISECONDS *
      2 ** this.#ejections;
    this.#ejections = Math.min(this.#ejections + 1, 6);
    this.#block(
      Math.min(ejectionMilliseconds, MAXIMUM_EJECTION_MILLISECONDS),
      now,
    );
  }

  /** Forgets failures that were those of the way to the server. */
  forgive(now: number): void {
    this.#recordAnswer();
    this.#lastFailureRate = 0;
    this.#blockedUntilMilliseconds = now;
  }

  #block(milliseconds: number, now: number): void {
    this.#blockedUntilMilliseconds = Math.max(
      this.#blockedUntilMilliseconds,
      now + milliseconds,
    );
  }
}
