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
export type ServerVerdict =
  | "answered"
  | "failed"
  | "refused"
  | "silent"
  | "no-verdict";

/** An attempt of this entry, and how long it should take. */
export type OwnAttempt = {
  readonly startedAtMilliseconds: number;
  readonly expectedMilliseconds: number;
};

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
/**
 * Beyond this multiple of the expected time a server straggles. Requests of a
 * route differ in size, and a slow phase may begin midway; neither reaches it.
 */
const STRAGGLING_PACE = 2.5;
const MOST_PACE = 12;
/**
 * One slow answer says little: sizes have a long tail. The pace is that of the
 * fastest of this many in a row.
 */
const STRAGGLING_IN_ROW = 3;
/** What was learned of a server's pace is forgotten by half in this time. */
const PACE_HALF_LIFE_MILLISECONDS = 2_000;
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
  readonly #ownAttempts = new Map<object, OwnAttempt>();
  /** Paces of the last attempts that ended, while all of them straggled. */
  #stragglingInRow: number[] = [];
  #pace = 1;
  #paceAtMilliseconds = 0;
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
  renew(registration: ServerRegistration, now: number): void {
    this.registration = registration;
    this.#warmAtMilliseconds = now + registration.warmUpLeftMilliseconds;
  }

  get slots(): number {
    return this.registration.slots;
  }

  get ownInFlight(): number {
    return this.#ownAttempts.size;
  }

  get isHealthBad(): boolean {
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
  failureShare(now: number): number {
    const age = now - this.#failureAtMilliseconds;
    return this.#failureShare * 2 ** (-age / FAILURE_HALF_LIFE_MILLISECONDS);
  }

  /** Takes a report; one that is older than the known one is ignored. */
  noteReport(report: ServerReport, atMilliseconds: number): boolean {
    const known = this.#report?.atMilliseconds ?? -Infinity;
    if (atMilliseconds <= known) return false;
    this.#report = { ...report, atMilliseconds };
    this.#sentSinceReport = 0;
    return true;
  }

  get lastReport(): DatedReport | undefined {
    return this.#report;
  }

  notePeerInFlight(peer: string, count: number, now: number): void {
    if (count === 0) this.#peerCounts.delete(peer);
    else this.#peerCounts.set(peer, { count, atMilliseconds: now });
  }

  noteHealth(isGood: boolean): void {
    this.#isHealthBad = !isGood;
  }

  /** Notes an own attempt; `attempt` is named again when it ends. */
  noteStart(attempt: object, own: OwnAttempt): void {
    this.#ownAttempts.set(attempt, own);
    this.#sentSinceReport += 1;
  }

  noteEnd(attempt: object, verdict: ServerVerdict, now: number): void {
    const own = this.#ownAttempts.get(attempt);
    this.#ownAttempts.delete(attempt);
    if (own !== undefined) this.#learnPace(paceOf(own, now), verdict, now);
    this.noteVerdict(verdict, now);
  }

  /** Takes what a peer has learned of the server's pace. */
  notePeerPace(pace: number, now: number): void {
    if (pace <= this.#learnedPace(now)) return;
    this.#pace = Math.min(MOST_PACE, pace);
    this.#paceAtMilliseconds = now;
  }

  /**
   * Time that requests take here as a multiple of what was expected: 1 unless
   * several in a row were far slower, counting those that are overdue now.
   */
  pace(now: number): number {
    const overdue: number[] = [];
    for (const own of this.#ownAttempts.values()) {
      const present = paceOf(own, now);
      if (present > STRAGGLING_PACE) overdue.push(present);
    }
    const inRow = [...overdue, ...this.#stragglingInRow];
    const learned = this.#learnedPace(now);
    const isStraggling = overdue.length > 0 &&
      inRow.length >= STRAGGLING_IN_ROW;
    return isStraggling
      ? Math.min(MOST_PACE, Math.max(learned, Math.min(...inRow)))
      : learned;
  }

  #learnPace(pace: number, verdict: ServerVerdict, now: number): void {
    if (pace <= STRAGGLING_PACE) {
      if (verdict !== "answered") return;
      this.#stragglingInRow = [];
      this.#pace = 1 + (this.#learnedPace(now) - 1) / 2;
    } else {
      this.#stragglingInRow.push(pace);
      this.#stragglingInRow = this.#stragglingInRow.slice(-STRAGGLING_IN_ROW);
      if (this.#stragglingInRow.length < STRAGGLING_IN_ROW) return;
      const least = Math.min(...this.#stragglingInRow, MOST_PACE);
      this.#pace = Math.max(this.#learnedPace(now), least);
    }
    this.#paceAtMilliseconds = now;
  }

  #learnedPace(now: number): number {
    const age = now - this.#paceAtMilliseconds;
    return 1 + (this.#pace - 1) * 2 ** (-age / PACE_HALF_LIFE_MILLISECONDS);
  }

  noteVerdict(verdict: ServerVerdict, now: number): void {
    if (verdict === "no-verdict") return;
    if (verdict === "refused") {
      this.#block(REFUSED_PAUSE_MILLISECONDS, now);
      return;
    }
    const hasFailed = verdict !== "answered";
    this.#failureShare = this.failureShare(now) * (1 - FAILURE_SMOOTHING) +
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

function paceOf(own: OwnAttempt, now: number): number {
  return (now - own.startedAtMilliseconds) /
    Math.max(1, own.expectedMilliseconds);
}
