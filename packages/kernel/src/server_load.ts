/**
 * What an entry believes about the load and health of one backend server.
 *
 * The number of requests there is the sum of what the entries have in flight:
 * the own part is exact, the peers' parts are as old as their last message. A
 * fresh report of the server itself raises the sum where peers are unheard.
 * How slow its machine is at the moment is known from reports only, and such
 * a report loses its weight within a few hundred milliseconds.
 */
import type { ServerRegistration } from "./routing_snapshot.ts";

/** What a backend server says of itself on an answer or a health check. */
export type ServerReport = {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes there now, 1 is as usual. */
  readonly slowdown: number;
};

/** How an attempt ended, as far as the server's health is concerned. */
export type ServerOutcome =
  | "answered"
  | "failed"
  | "refused"
  | "silent"
  | "no-verdict";

type DatedReport = ServerReport & { readonly atMilliseconds: number };
type PeerCount = { readonly count: number; readonly atMilliseconds: number };

/** A report this young is better than what peers have said before it. */
const REPORT_EXACT_MILLISECONDS = 40;
/** A report older than this says nothing of the requests there. */
const REPORT_COUNT_MILLISECONDS = 150;
/** Load phases of shared machines last about 300 ms on the users' sites. */
const SLOWDOWN_MEMORY_MILLISECONDS = 300;
/** Peers repeat what they have in flight well within this time. */
const PEER_COUNT_MILLISECONDS = 1_000;
/** Failures are forgotten by half in this time. */
const FAILURE_HALF_LIFE_MILLISECONDS = 2_000;
/** Weight of the newest outcome in the share of failures. */
const FAILURE_SMOOTHING = 0.25;
/** Failures in a row after which a server is left alone for a while. */
const FAILURES_TO_EJECT = 3;
const EJECT_START_MILLISECONDS = 500;
const EJECT_LIMIT_MILLISECONDS = 4_000;
/** A full server has room again after about one request. */
const REFUSED_PAUSE_MILLISECONDS = 60;

export class ServerLoad {
  registration: ServerRegistration;
  readonly #ownAttempts = new Set<object>();
  /** Own attempts that were started since the last report. */
  #sentSinceReport = 0;
  #report: DatedReport | undefined;
  #peerCounts = new Map<string, PeerCount>();
  #warmAtMilliseconds: number;
  #failureShare = 0;
  #failureAtMilliseconds = 0;
  #failuresInRow = 0;
  #ejections = 0;
  #blockedUntilMilliseconds = -Infinity;
  #isHealthBad = false;

  constructor(registration: ServerRegistration, now: number) {
    this.registration = registration;
    this.#warmAtMilliseconds = now + registration.warmUpLeftMilliseconds;
  }

  /** Takes a renewed registration of the same run of the server. */
  updateRegistration(registration: ServerRegistration, now: number): void {
    this.registration = registration;
    this.#warmAtMilliseconds = now + registration.warmUpLeftMilliseconds;
  }

  get slots(): number {
    return this.registration.slots;
  }

  get ownInFlight(): number {
    return this.#ownAttempts.size;
  }

  get isReportedUnhealthy(): boolean {
    return this.#isHealthBad;
  }

  reportAgeMilliseconds(now: number): number {
    if (this.#report === undefined) return Infinity;
    return now - this.#report.atMilliseconds;
  }

  isCold(now: number): boolean {
    return now < this.#warmAtMilliseconds;
  }

  /** Whether the server is left alone after failures or a refusal. */
  isBlocked(now: number): boolean {
    return now < this.#blockedUntilMilliseconds;
  }

  /** Requests believed to be there, running or waiting. */
  load(now: number): number {
    let known = this.ownInFlight;
    for (const [peer, { count, atMilliseconds }] of this.#peerCounts) {
      if (now - atMilliseconds > PEER_COUNT_MILLISECONDS) {
        this.#peerCounts.delete(peer);
      } else known += count;
    }
    if (this.#report === undefined) return known;
    const age = this.reportAgeMilliseconds(now);
    if (age > REPORT_COUNT_MILLISECONDS) return known;
    const { running, waiting } = this.#report;
    const reported = running + waiting + this.#sentSinceReport;
    if (age <= REPORT_EXACT_MILLISECONDS) return reported;
    return Math.max(known, reported);
  }

  /** Slowdown now; a stale report fades into `usual`. */
  slowdown(now: number, usual: number): number {
    if (this.#report === undefined) return usual;
    const age = this.reportAgeMilliseconds(now);
    const weight = Math.exp(-age / SLOWDOWN_MEMORY_MILLISECONDS);
    return usual + (this.#report.slowdown - usual) * weight;
  }

  /** Share of attempts that failed lately. */
  failureRate(now: number): number {
    const age = now - this.#failureAtMilliseconds;
    return this.#failureShare * 2 ** (-age / FAILURE_HALF_LIFE_MILLISECONDS);
  }

  /** Takes a report; one that is older than the known one is ignored. */
  recordReport(report: ServerReport, atMilliseconds: number): boolean {
    const known = this.#report?.atMilliseconds ?? -Infinity;
    if (atMilliseconds <= known) return false;
    this.#report = { ...report, atMilliseconds };
    this.#sentSinceReport = 0;
    return true;
  }

  get lastReport(): DatedReport | undefined {
    return this.#report;
  }

  recordPeerInFlight(peer: string, count: number, now: number): void {
    if (count === 0) this.#peerCounts.delete(peer);
    else this.#peerCounts.set(peer, { count, atMilliseconds: now });
  }

  recordReportedHealth(isGood: boolean): void {
    this.#isHealthBad = !isGood;
  }

  /** Notes an own attempt; `attempt` is named again when it ends. */
  recordStart(attempt: object): void {
    this.#ownAttempts.add(attempt);
    this.#sentSinceReport += 1;
  }

  recordEnd(attempt: object, verdict: ServerOutcome, now: number): void {
    this.#ownAttempts.delete(attempt);
    this.recordOutcome(verdict, now);
  }

  recordOutcome(verdict: ServerOutcome, now: number): void {
    if (verdict === "no-verdict") return;
    if (verdict === "refused") {
      this.#block(REFUSED_PAUSE_MILLISECONDS, now);
      return;
    }
    const hasFailed = verdict !== "answered";
    this.#failureShare = this.failureRate(now) * (1 - FAILURE_SMOOTHING) +
      (hasFailed ? FAILURE_SMOOTHING : 0);
    this.#failureAtMilliseconds = now;
    if (hasFailed) this.#noteFailure(now);
    else this.#noteAnswer();
  }

  #noteAnswer(): void {
    this.#failuresInRow = 0;
    this.#ejections = 0;
  }

  #noteFailure(now: number): void {
    this.#failuresInRow += 1;
    if (this.#failuresInRow < FAILURES_TO_EJECT) return;
    this.#failuresInRow = FAILURES_TO_EJECT - 1;
    const pause = EJECT_START_MILLISECONDS * 2 ** this.#ejections;
    this.#ejections = Math.min(this.#ejections + 1, 6);
    this.#block(Math.min(pause, EJECT_LIMIT_MILLISECONDS), now);
  }

  #block(milliseconds: number, now: number): void {
    this.#blockedUntilMilliseconds = Math.max(
      this.#blockedUntilMilliseconds,
      now + milliseconds,
    );
  }
}
