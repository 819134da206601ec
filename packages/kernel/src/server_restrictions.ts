/**
 * What one run of a backend server has said of itself in its answers, and
 * whether an entry may send it a request now.
 *
 * A limit counts for all entries together. Each entry sends at the rate of its
 * share of the limit; the share depends on the fleet and is given by a function.
 *
 * A pause is what a server asks of one entry, which then sends it nothing, and
 * no probes. The longest of several holds.
 *
 * A server that leaves says so until it exits. It gets requests for a short
 * time more, and only those that no other server has room for. Nothing takes
 * the statement back: a restart of the server is another run.
 */
import { TokenBucket } from "./token_bucket.ts";
import { WarmUpLimit } from "./warm_up_limit.ts";

/**
 * Requests a second that a server takes from all entries together, or `none` if
 * its answers name no limit. A limit holds as long as the answers name it.
 */
export type RequestLimit = number | "none";

/** What an answer says of the server that sent it. */
export type ServerStatement = {
  /** `unreadable`: the answer says nothing that changes the limit. */
  readonly requestLimit: RequestLimit | "unreadable";
  /** An answer that does not say so takes nothing back. */
  readonly isLeaving: boolean;
  /** How long the server wants no request of this entry; 0 if it takes them. */
  readonly pauseMilliseconds: number;
  /** In a health check: how long the server stays cold; missing if warm. */
  readonly warmUpMilliseconds?: number | "unreadable";
};

/** Requests a second that this entry may send of a server's limit. */
export type OwnShare = (requestsPerSecond: number) => number;

/** A server that takes nothing is still asked at this rate, in requests/s. */
const MINIMUM_LIMIT = 0.1;
/** A limit is out of date this long after it was said last. */
const LIMIT_LIFETIME_MILLISECONDS = 10_000;
/** Small limits are said seldom: they last for this many requests more. */
const LIMIT_LIFETIME_REQUESTS = 4;
/** Changes of a limit by a smaller share are not worth telling. */
const NOTABLE_CHANGE = 0.2;
/** No statement stops a server for longer. */
const MAXIMUM_PAUSE_MILLISECONDS = 60_000;
/** Entries return to a server within this time after the end of a pause. */
const PAUSE_SPREAD_MILLISECONDS = 250;
const MILLISECONDS_IN_SECOND = 1_000;

export class ServerRestrictions {
  /** Bounds the requests while the server is cold. */
  readonly warmUpLimit: WarmUpLimit;
  readonly #bucket = new TokenBucket();
  readonly #ownShare: OwnShare;
  /** Uniformly distributed in [0, 1): entries do not try again at once. */
  readonly #spread: number;
  /** How long a server gets requests after it has said that it leaves. */
  readonly #leavingUseMilliseconds: number;
  #requestLimit: RequestLimit = "none";
  #limitSaidAtMilliseconds = -Infinity;
  #leavingSinceMilliseconds = Infinity;
  #pausedUntilMilliseconds = -Infinity;

  constructor(
    ownShare: OwnShare = (limit) => limit,
    spread = 0,
    leavingUseMilliseconds = 0,
  ) {
    this.warmUpLimit = new WarmUpLimit(ownShare, spread);
    this.#ownShare = ownShare;
    this.#spread = spread;
    this.#leavingUseMilliseconds = leavingUseMilliseconds;
  }

  get requestLimit(): RequestLimit {
    return this.#requestLimit;
  }

  /** When the server said last what limit it has, or that it has none. */
  get limitSaidAtMilliseconds(): number {
    return this.#limitSaidAtMilliseconds;
  }

  /** Whether the server has said that it leaves. */
  get isLeaving(): boolean {
    return this.#leavingSinceMilliseconds !== Infinity;
  }

  /** When the server first said that it leaves; `Infinity` if it did not. */
  get leavingSinceMilliseconds(): number {
    return this.#leavingSinceMilliseconds;
  }

  /** Records that the server said at a time that it leaves; returns if new. */
  recordLeaving(atMilliseconds: number): boolean {
    const isNew = !this.isLeaving;
    this.#leavingSinceMilliseconds = Math.min(
      this.#leavingSinceMilliseconds,
      atMilliseconds,
    );
    return isNew;
  }

  /** Records a pause that starts now; returns whether it ends any later. */
  recordPause(milliseconds: number, now: number): boolean {
    if (milliseconds <= 0) return false;
    const until = now + Math.min(milliseconds, MAXIMUM_PAUSE_MILLISECONDS) +
      this.#spread * PAUSE_SPREAD_MILLISECONDS;
    if (until <= this.#pausedUntilMilliseconds) return false;
    this.#pausedUntilMilliseconds = until;
    return true;
  }

  /** Whether the server takes neither requests nor probes of this entry. */
  isPaused(now: number): boolean {
    return now < this.#pausedUntilMilliseconds;
  }

  /**
   * Records a limit said at a time; returns whether it changes notably. Older
   * statements than the last one are ignored.
   */
  recordStatement(
    { requestLimit }: Pick<ServerStatement, "requestLimit">,
    atMilliseconds: number,
  ): boolean {
    if (requestLimit === "unreadable") return false;
    if (atMilliseconds < this.#limitSaidAtMilliseconds) return false;
    this.#limitSaidAtMilliseconds = atMilliseconds;
    const previous = this.#requestLimit;
    if (previous === "none" && requestLimit !== "none") {
      this.#bucket.reset(0, atMilliseconds);
    }
    this.#requestLimit = requestLimit;
    return isNotableChange(previous, requestLimit);
  }

  /**
   * Milliseconds until this entry may send the server a request: 0 if it may
   * now, `Infinity` if it holds no share of the limit or the server leaves.
   */
  millisecondsUntilAllowed(now: number): number {
    const leavingMilliseconds = now - this.#leavingSinceMilliseconds;
    if (leavingMilliseconds >= this.#leavingUseMilliseconds) return Infinity;
    return Math.max(
      0,
      this.#pausedUntilMilliseconds - now,
      this.#millisecondsUntilToken(now),
    );
  }

  #millisecondsUntilToken(now: number): number {
    if (this.#requestLimit === "none") return 0;
    const rate = this.#currentRate(this.#requestLimit, now);
    return this.#bucket.millisecondsUntilToken(rate, now);
  }

  /** Uses up the permission for one request; returns false if there is none. */
  trySpend(now: number): boolean {
    if (this.millisecondsUntilAllowed(now) > 0) return false;
    if (this.#requestLimit !== "none") this.#bucket.spend();
    return true;
  }

  /** Requests a second that this entry may send now. */
  #currentRate(requestLimit: number, now: number): number {
    const limit = Math.max(MINIMUM_LIMIT, requestLimit);
    const rate = this.#ownShare(limit);
    const lifetime = this.#lifetimeMilliseconds(limit);
    // Nothing was heard of the limit for long: one request asks again.
    return now - this.#limitSaidAtMilliseconds > lifetime
      ? Math.max(rate, MILLISECONDS_IN_SECOND / lifetime)
      : rate;
  }

  #lifetimeMilliseconds(limit: number): number {
    const lifetime = LIMIT_LIFETIME_MILLISECONDS +
      LIMIT_LIFETIME_REQUESTS * MILLISECONDS_IN_SECOND / limit;
    return lifetime * (1 + this.#spread);
  }
}

function isNotableChange(previous: RequestLimit, next: RequestLimit): boolean {
  if (previous === "none" || next === "none") return previous !== next;
  return Math.abs(next - previous) > NOTABLE_CHANGE * previous;
}
