/**
 * Reads fields of decoded values that others wrote, and checks their types.
 */
import { err, ok, type Result } from "neverthrow";

export type ValueMalformed = {
  readonly kind: "value-malformed";
  /** Path of the field, what was given and what was expected. */
  readonly detail: string;
};

export type JsonObject = Readonly<Record<string, unknown>>;

const MAXIMUM_SHOWN_CHARACTERS = 80;

/** Never recurses, as values may be nested more deeply than the stack is. */
function describe(value: unknown): string {
  if (Array.isArray(value)) return `an array of ${value.length}`;
  if (typeof value === "object" && value !== null) return "an object";
  if (typeof value !== "string") return String(value);
  const shown = JSON.stringify(value.slice(0, MAXIMUM_SHOWN_CHARACTERS));
  return value.length > MAXIMUM_SHOWN_CHARACTERS
    ? `${shown} and ${value.length - MAXIMUM_SHOWN_CHARACTERS} characters more`
    : shown;
}

export function malformed(path: string, given: unknown, expected: string) {
  return err<never, ValueMalformed>({
    kind: "value-malformed",
    detail: `${path} is ${describe(given)}; expected ${expected}`,
  });
}

export function readObject(
  value: unknown,
  path: string,
): Result<JsonObject, ValueMalformed> {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return ok(value as JsonObject);
  }
  return malformed(path, value, "an object");
}

export function readArray(
  value: unknown,
  path: string,
): Result<readonly unknown[], ValueMalformed> {
  return Array.isArray(value) ? ok(value) : malformed(path, value, "an array");
}

export function readString(
  value: unknown,
  path: string,
): Result<string, ValueMalformed> {
  return typeof value === "string" && value !== ""
    ? ok(value)
    : malformed(path, value, "a non-empty string");
}

export function readMatchingString(
  value: unknown,
  path: string,
  { pattern, expected }: { pattern: RegExp; expected: string },
): Result<string, ValueMalformed> {
  return typeof value === "string" && pattern.test(value)
    ? ok(value)
    : malformed(path, value, expected);
}

export function readBoolean(
  value: unknown,
  path: string,
): Result<boolean, ValueMalformed> {
  return typeof value === "boolean"
    ? ok(value)
    : malformed(path, value, "true or false");
}

/** Both ends are allowed. */
export type NumberRange = {
  /** 0 if it is left out. */
  readonly minimum?: number;
  readonly maximum?: number;
};

/** Reads a finite number in a range. */
export function readNumber(
  value: unknown,
  path: string,
  range: NumberRange = {},
): Result<number, ValueMalformed> {
  return isInRange(value, range)
    ? ok(value)
    : malformed(path, value, `a number ${describeRange(range)}`);
}

export function readInteger(
  value: unknown,
  path: string,
  range: NumberRange = {},
): Result<number, ValueMalformed> {
  return isInRange(value, range) && Number.isSafeInteger(value)
    ? ok(value)
    : malformed(path, value, `an integer ${describeRange(range)}`);
}

function isInRange(
  value: unknown,
  { minimum = 0, maximum = Number.MAX_VALUE }: NumberRange,
): value is number {
  return typeof value === "number" && value >= minimum && value <= maximum;
}

function describeRange({ minimum = 0, maximum }: NumberRange): string {
  return maximum === undefined
    ? `of ${minimum} or more`
    : `from ${minimum} to ${maximum}`;
}

export function readOneOf<Option extends string>(
  value: unknown,
  path: string,
  options: readonly Option[],
): Result<Option, ValueMalformed> {
  const option = options.find((each) => each === value);
  return option !== undefined
    ? ok(option)
    : malformed(path, value, `one of ${options.join(", ")}`);
}
