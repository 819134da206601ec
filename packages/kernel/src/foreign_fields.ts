/**
 * Readers of the fields that others write: backend servers, operators and
 * entries of other builds. Each checks type and range, so that every value that
 * gets further can be used in timers, messages, headers and arithmetic.
 *
 * The ranges are far beyond any real value; a value out of range is a mistake
 * of its writer.
 */
import { ok, type Result } from "neverthrow";
import { IPV4_ADDRESS } from "./address.ts";
import {
  type JsonObject,
  readInteger,
  readMatchingString,
  readNumber,
  type ValueMalformed,
} from "./field_readers.ts";
import type { Address } from "./types.ts";

/** Keeps times in milliseconds below the longest timer, 24 days. */
const MAXIMUM_SECONDS = 86_400;
const MILLISECONDS_IN_SECOND = 1_000;
const MAXIMUM_SLOTS = 1_000_000;
/** In the year 2286. */
const MAXIMUM_UNIX_MILLISECONDS = 10_000_000_000_000;
const MAXIMUM_SEQUENCE = 1_000_000_000_000;
const MAXIMUM_AMOUNT = 1_000_000_000_000;

/** An id is sent in headers. */
const ID = {
  pattern: /^[!-~]{1,200}$/,
  expected: "1 to 200 visible ASCII characters",
};
const NAME = {
  pattern: /^[^]{1,256}$/,
  expected: "a text of 1 to 256 characters",
};
const ADDRESS = {
  pattern: IPV4_ADDRESS,
  expected: "an IPv4 address and a port",
};
const PATH_PREFIX = {
  pattern: /^\/(?:[!-~]{0,4094}\/)?$/,
  expected: "a path of visible ASCII characters that ends with a slash",
};
const PATH = {
  pattern: /^\/[!-~]{0,4095}$/,
  expected: "a path of visible ASCII characters",
};

export function readId(
  value: unknown,
  path: string,
): Result<string, ValueMalformed> {
  return readMatchingString(value, path, ID);
}

export function readName(
  value: unknown,
  path: string,
): Result<string, ValueMalformed> {
  return readMatchingString(value, path, NAME);
}

export function readAddress(
  value: unknown,
  path: string,
): Result<Address, ValueMalformed> {
  return readMatchingString(value, path, ADDRESS);
}

export function readPath(
  value: unknown,
  path: string,
): Result<string, ValueMalformed> {
  return readMatchingString(value, path, PATH);
}

export function readPathPrefix(
  value: unknown,
  path: string,
): Result<string, ValueMalformed> {
  return readMatchingString(value, path, PATH_PREFIX);
}

export function readSlots(
  value: unknown,
  path: string,
): Result<number, ValueMalformed> {
  return readInteger(value, path, { minimum: 1, maximum: MAXIMUM_SLOTS });
}

export function readUnixMilliseconds(
  value: unknown,
  path: string,
): Result<number, ValueMalformed> {
  return readInteger(value, path, { maximum: MAXIMUM_UNIX_MILLISECONDS });
}

export function readSequence(
  value: unknown,
  path: string,
): Result<number, ValueMalformed> {
  return readInteger(value, path, { maximum: MAXIMUM_SEQUENCE });
}

/** Reads a duration in seconds as milliseconds. */
export function readSeconds(
  value: unknown,
  path: string,
): Result<number, ValueMalformed> {
  return readNumber(value, path, { maximum: MAXIMUM_SECONDS })
    .map((seconds) => seconds * MILLISECONDS_IN_SECOND);
}

export function readMilliseconds(
  value: unknown,
  path: string,
): Result<number, ValueMalformed> {
  return readNumber(value, path, {
    maximum: MAXIMUM_SECONDS * MILLISECONDS_IN_SECOND,
  });
}

/** Reads a number of bytes or connections, a weight or a rank. */
export function readAmount(
  value: unknown,
  path: string,
): Result<number, ValueMalformed> {
  return readNumber(value, path, { maximum: MAXIMUM_AMOUNT });
}

/** Reads a field of an object under its name, or nothing if it is missing. */
export function readOptional<Name extends string, Value>(
  object: JsonObject,
  name: Name,
  read: (value: unknown, path: string) => Result<Value, ValueMalformed>,
): Result<{ readonly [Key in Name]?: Value }, ValueMalformed> {
  const value = object[name];
  if (value === undefined) return ok({});
  return read(value, name).map((known) =>
    ({ [name]: known }) as { [Key in Name]?: Value }
  );
}
