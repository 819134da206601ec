/**
 * The owner's table of protected calls: which keys it has seen, and how each
 * ended.
 *
 * Only the incarnation written in a key may run it, so this table alone
 * decides whether a key runs. Three rules keep that at most once:
 *
 * 1. A key is recorded before its call is dispatched.
 * 2. A key that was refused as not run is closed: it never runs later, even
 *    when a delayed copy of the request arrives.
 * 3. A record is forgotten only after its key has expired on the owner's
 *    clock, and an expired key is never run.
 *
 * Closing needs no memory for keys that were never recorded. The table keeps
 * one watermark: unseen keys that expire at or before it are closed. A full
 * table raises the watermark to the latest expiry handed out so far.
 */
import { err, ok, type Result } from "neverthrow";
import { formatKeyPrefix, type IdempotencyKey } from "./idempotency_key.ts";
import type { KeyPrefix } from "./idempotency_key.ts";
import type { Clock, Incarnation } from "./types.ts";

/** A whole answer, kept so that a resend gets it again. */
export type StoredAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/**
 * How far a key has come.
 *
 * - `running`: dispatched or about to be.
 * - `answered`: the whole answer is stored.
 * - `answer-not-kept`: answered, but the answer was too large to store.
 * - `unknown`: dispatched, and the answer was lost.
 * - `closed`: refused as not run; never to be run.
 */
export type KeyState =
  | "running"
  | "answered"
  | "answer-not-kept"
  | "unknown"
  | "closed";

export type KeyRecord = {
  readonly key: string;
  readonly expiresAtMilliseconds: number;
  readonly contentDigest: string;
  readonly state: KeyState;
  readonly answer?: StoredAnswer;
};

/** What the owner does with a key that it was asked to run. */
export type BeginDecision =
  | { readonly kind: "run" }
  | { readonly kind: "join" }
  | { readonly kind: "replay"; readonly answer: StoredAnswer }
  | { readonly kind: "settled"; readonly state: SettledWithoutAnswer };

export type SettledWithoutAnswer = "answer-not-kept" | "unknown" | "closed";

export type BeginFailure =
  | { readonly kind: "key-expired" }
  | { readonly kind: "key-not-issued" }
  | { readonly kind: "table-full" }
  | { readonly kind: "content-mismatch" };

/** How a run ended. */
export type RunEnd =
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  /** Answered, with an answer beyond what may be kept. */
  | { readonly kind: "answer-not-kept" }
  | { readonly kind: "unknown" }
  | { readonly kind: "not-run" };

export type ProtectedCallTableOptions = {
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly keyLifetimeMilliseconds: number;
  readonly maximumKeys: number;
  readonly maximumBytes: number;
  readonly maximumAnswerBytes: number;
};

/** Fixed cost charged for a record beside its answer. */
const RECORD_OVERHEAD_BYTES = 400;

function sizeOf(record: KeyRecord): number {
  return RECORD_OVERHEAD_BYTES + (record.answer?.body.byteLength ?? 0);
}

/** Records keys of one incarnation and decides whether a key runs. */
export class ProtectedCallTable {
  readonly #options: ProtectedCallTableOptions;
  readonly #records = new Map<string, KeyRecord>();
  #bytes = 0;
  #closedUpTo = -1;
  #latestExpiryHandedOut = -1;
  #isClosedForGood = false;

  constructor(options: ProtectedCallTableOptions) {
    this.#options = options;
  }

  get keyCount(): number {
    return this.#records.size;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** A prefix for new keys, valid for the whole key lifetime. */
  keyPrefix(): KeyPrefix {
    const { clock, keyLifetimeMilliseconds, incarnation } = this.#options;
    const expiry = Math.max(
      Math.floor(clock() + keyLifetimeMilliseconds),
      this.#closedUpTo + 1,
    );
    this.#latestExpiryHandedOut = Math.max(this.#latestExpiryHandedOut, expiry);
    return formatKeyPrefix(incarnation, expiry);
  }

  /** Decides what to do with a key; records it when the answer is `run`. */
  begin(
    key: IdempotencyKey,
    contentDigest: string,
  ): Result<BeginDecision, BeginFailure> {
    const record = this.#records.get(key.text);
    if (record !== undefined) return this.#resume(record, contentDigest);
    if (this.#hasExpired(key)) return err({ kind: "key-expired" });
    if (this.#wasNeverIssued(key)) return err({ kind: "key-not-issued" });
    if (this.#isClosed(key)) return ok({ kind: "settled", state: "closed" });
    if (!this.#hasRoom()) {
      this.#closeUnseenKeys();
      return err({ kind: "table-full" });
    }
    this.#put({
      key: key.text,
      expiresAtMilliseconds: key.expiresAtMilliseconds,
      contentDigest,
      state: "running",
    });
    return ok({ kind: "run" });
  }

  /** Stores how a run ended. A run that was proved not run closes its key. */
  finish(keyText: string, end: RunEnd): void {
    const record = this.#records.get(keyText);
    if (record === undefined || record.state !== "running") return;
    this.#put(this.#settle(record, end));
  }

  /** Closes every key that is not recorded, those handed out later as well. */
  closePermanently(): void {
    this.#isClosedForGood = true;
  }

  /** Forgets records whose keys have expired; running ones stay. */
  dropExpired(): void {
    const now = this.#options.clock();
    for (const record of this.#records.values()) {
      if (record.state === "running") continue;
      if (record.expiresAtMilliseconds >= now) continue;
      this.#bytes -= sizeOf(record);
      this.#records.delete(record.key);
    }
  }

  /** All records, for a hand-over. */
  records(): KeyRecord[] {
    return [...this.#records.values()];
  }

  #resume(
    record: KeyRecord,
    contentDigest: string,
  ): Result<BeginDecision, BeginFailure> {
    if (record.contentDigest !== contentDigest) {
      return err({ kind: "content-mismatch" });
    }
    return ok(decideFromRecord(record));
  }

  #settle(record: KeyRecord, end: RunEnd): KeyRecord {
    if (end.kind === "not-run") return { ...record, state: "closed" };
    if (end.kind !== "answered") return { ...record, state: end.kind };
    const tooLarge =
      end.answer.body.byteLength > this.#options.maximumAnswerBytes ||
      this.#bytes + end.answer.body.byteLength > this.#options.maximumBytes;
    if (tooLarge) return { ...record, state: "answer-not-kept" };
    return { ...record, state: "answered", answer: end.answer };
  }

  #hasExpired(key: IdempotencyKey): boolean {
    return key.expiresAtMilliseconds < this.#options.clock();
  }

  #wasNeverIssued(key: IdempotencyKey): boolean {
    return key.expiresAtMilliseconds > this.#latestExpiryHandedOut;
  }

  #isClosed(key: IdempotencyKey): boolean {
    return this.#isClosedForGood ||
      key.expiresAtMilliseconds <= this.#closedUpTo;
  }

  /** Closes every key that this table has not recorded so far. */
  #closeUnseenKeys(): void {
    this.#closedUpTo = this.#latestExpiryHandedOut;
  }

  #hasRoom(): boolean {
    const { maximumKeys, maximumBytes } = this.#options;
    const bytesAfter = this.#bytes + RECORD_OVERHEAD_BYTES;
    return this.#records.size < maximumKeys && bytesAfter <= maximumBytes;
  }

  #put(record: KeyRecord): void {
    const previous = this.#records.get(record.key);
    if (previous !== undefined) this.#bytes -= sizeOf(previous);
    this.#bytes += sizeOf(record);
    this.#records.set(record.key, record);
  }
}

/** What a resend of a recorded key gets. */
export function decideFromRecord(record: KeyRecord): BeginDecision {
  if (record.state === "running") return { kind: "join" };
  if (record.state !== "answered") {
    return { kind: "settled", state: record.state };
  }
  if (record.answer === undefined) {
    return { kind: "settled", state: "answer-not-kept" };
  }
  return { kind: "replay", answer: record.answer };
}
