/**
 * The owner's table of protected calls: the keys it has received and the
 * outcome of each.
 *
 * Only the incarnation named in a key may run it, so this table alone decides
 * whether a key runs. Three rules guarantee that it runs at most once:
 *
 * 1. A key is recorded before its call is dispatched.
 * 2. A key that was refused as not run is closed: it never runs later, even
 *    when a delayed copy of the request arrives.
 * 3. A record is dropped only after its key has expired on the owner's clock,
 *    and an expired key is never run.
 *
 * Closing takes no memory for keys that were never recorded. The table keeps
 * one watermark: unrecorded keys that expire at or before it are closed. A full
 * table raises the watermark to the latest expiry issued so far.
 */
import { err, ok, type Result } from "neverthrow";
import { formatKeyPrefix, type IdempotencyKey } from "./idempotency_key.ts";
import type { KeyPrefix } from "./idempotency_key.ts";
import type { Clock, Incarnation } from "./types.ts";

/** A complete answer, stored to be replayed when the caller resends a key. */
export type StoredAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/**
 * State of a recorded key.
 *
 * - `running`: dispatched or about to be dispatched.
 * - `answered`: the complete answer is stored.
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

/**
 * What the owner does with a key that it was asked to run: `join` waits for the
 * run in progress, and `replay` repeats the stored answer.
 */
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

/** Result of a run. */
export type RunEnd =
  | { readonly kind: "answered"; readonly answer: StoredAnswer }
  /** Answered, but the answer is too large to be stored. */
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

/** Memory counted for a record in addition to its answer. */
const RECORD_OVERHEAD_BYTES = 400;

function sizeOf(record: KeyRecord): number {
  return RECORD_OVERHEAD_BYTES + (record.answer?.body.byteLength ?? 0);
}

/** Records keys of one incarnation and decides whether a key runs. */
export class ProtectedCallTable {
  readonly #options: ProtectedCallTableOptions;
  readonly #records = new Map<string, KeyRecord>();
  #bytes = 0;
  #closedUpToExpiry = -1;
  #latestIssuedExpiry = -1;
  #isClosedPermanently = false;

  constructor(options: ProtectedCallTableOptions) {
    this.#options = options;
  }

  get keyCount(): number {
    return this.#records.size;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** A prefix for new keys, valid for the full key lifetime. */
  keyPrefix(): KeyPrefix {
    const { clock, keyLifetimeMilliseconds, incarnation } = this.#options;
    const expiry = Math.max(
      Math.floor(clock() + keyLifetimeMilliseconds),
      this.#closedUpToExpiry + 1,
    );
    this.#latestIssuedExpiry = Math.max(this.#latestIssuedExpiry, expiry);
    return formatKeyPrefix(incarnation, expiry);
  }

  /** Decides what to do with a key; records it when the decision is `run`. */
  begin(
    key: IdempotencyKey,
    contentDigest: string,
  ): Result<BeginDecision, BeginFailure> {
    const record = this.#records.get(key.text);
    if (record !== undefined) return this.#resume(record, contentDigest);
    if (this.#hasExpired(key)) return err({ kind: "key-expired" });
    if (this.#wasNeverIssued(key)) return err({ kind: "key-not-issued" });
    if (this.#isClosed(key)) return ok({ kind: "settled", state: "closed" });
    if (!this.#hasCapacity()) {
      this.#closeUnrecordedKeys();
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

  /** Stores the result of a run. The result `not-run` closes the key. */
  finish(keyText: string, end: RunEnd): void {
    const record = this.#records.get(keyText);
    if (record === undefined || record.state !== "running") return;
    this.#put(this.#settle(record, end));
  }

  /** Closes every unrecorded key, including those issued later. */
  closePermanently(): void {
    this.#isClosedPermanently = true;
  }

  /** Drops records of expired keys, except those that are running. */
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
    const isTooLarge =
      end.answer.body.byteLength > this.#options.maximumAnswerBytes ||
      this.#bytes + end.answer.body.byteLength > this.#options.maximumBytes;
    if (isTooLarge) return { ...record, state: "answer-not-kept" };
    return { ...record, state: "answered", answer: end.answer };
  }

  #hasExpired(key: IdempotencyKey): boolean {
    return key.expiresAtMilliseconds < this.#options.clock();
  }

  #wasNeverIssued(key: IdempotencyKey): boolean {
    return key.expiresAtMilliseconds > this.#latestIssuedExpiry;
  }

  #isClosed(key: IdempotencyKey): boolean {
    return this.#isClosedPermanently ||
      key.expiresAtMilliseconds <= this.#closedUpToExpiry;
  }

  /** Closes every key that was issued so far and is not recorded. */
  #closeUnrecordedKeys(): void {
    this.#closedUpToExpiry = this.#latestIssuedExpiry;
  }

  #hasCapacity(): boolean {
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

/** How a repeated call with a recorded key is answered. */
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
