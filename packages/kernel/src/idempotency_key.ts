/**
 * Scoped idempotency keys: `<incarnation>.<expiry>.<unique>`.
 *
 * The incarnation identifies the only entry process that may run the key. The
 * expiry is a time in milliseconds on that process's monotonic clock, in base
 * 36. The caller chooses the unique part.
 */
import { err, ok, type Result } from "neverthrow";
import type { Incarnation } from "./types.ts";

export type IdempotencyKey = {
  readonly text: string;
  readonly owner: Incarnation;
  readonly expiresAtMilliseconds: number;
};

export type KeyMalformed = {
  readonly kind: "key-malformed";
  readonly given: string;
};

/** The part of a key that an entry issues; callers append a unique part. */
export type KeyPrefix = string;

const KEY_PATTERN = /^([0-9a-f]{32})\.([0-9a-z]{1,11})\.([\w-]{1,64})$/;
const EXPIRY_RADIX = 36;
const MAXIMUM_ECHO_CHARACTERS = 40;

/** Parses a key; anything but the exact format is malformed. */
export function parseIdempotencyKey(
  text: string,
): Result<IdempotencyKey, KeyMalformed> {
  const parts = KEY_PATTERN.exec(text);
  if (parts === null) {
    const given = text.slice(0, MAXIMUM_ECHO_CHARACTERS);
    return err({ kind: "key-malformed", given });
  }
  const expiresAtMilliseconds = parseInt(parts[2], EXPIRY_RADIX);
  return ok({ text, owner: parts[1], expiresAtMilliseconds });
}

/** Formats the prefix of keys that `owner` accepts until they expire. */
export function formatKeyPrefix(
  owner: Incarnation,
  expiresAtMilliseconds: number,
): KeyPrefix {
  const expiry = Math.floor(expiresAtMilliseconds).toString(EXPIRY_RADIX);
  return `${owner}.${expiry}`;
}

/** Makes a key of a prefix and the caller's unique part. */
export function mintKey(prefix: KeyPrefix, uniquePart: string): string {
  return `${prefix}.${uniquePart}`;
}
