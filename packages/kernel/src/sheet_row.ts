/**
 * Validates one row of a sheet and converts it to an intention.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { IP_ADDRESS } from "./address.ts";
import {
  BUDGET_NAMES,
  type BudgetName,
  INTENTION_KINDS,
  type IntentionContent,
  type IntentionKind,
  type IntentionOrigin,
  type IntentionRow,
  LIMIT_NAMES,
  type LimitName,
} from "./intention.ts";

export const SHEET_COLUMNS = [
  "intention",
  "revision",
  "kind",
  "status",
  "service",
  "host",
  "method",
  "path_prefix",
  "address",
  "failure_domain",
  "slots",
  "connections",
  "name",
  "value",
] as const;
export type SheetColumn = typeof SHEET_COLUMNS[number];

/** The cells of one row by column; absent cells are empty strings. */
export type SheetCells = Readonly<Record<SheetColumn, string>>;

/** An invalid cell. */
export type CellFault = {
  readonly column: SheetColumn;
  readonly given: string;
  readonly expected: string;
};

type CellResult<Value> = Result<Value, CellFault>;

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
const METHOD_PATTERN = /^[A-Z]{0,16}$/;
const MAXIMUM_REVISION = 1_000_000_000;
const MAXIMUM_COUNT = 1_000_000;
const MAXIMUM_LIMIT_VALUE = 3_600_000;

/** Parses one row; reports every invalid cell, not only the first. */
export function readSheetRow(
  cells: SheetCells,
  origin: IntentionOrigin,
): Result<IntentionRow, CellFault[]> {
  const reader = new CellReader(cells);
  const intention = reader.name("intention");
  const revision = reader.integer("revision", {
    minimum: 1,
    maximum: MAXIMUM_REVISION,
  });
  const status = reader.oneOf("status", ["", "active", "withdrawn"] as const);
  const kind = reader.oneOf("kind", INTENTION_KINDS);
  const content = kind === undefined ? undefined : readContent(kind, reader);
  if (reader.faults.length > 0 || content === undefined) {
    return err(reader.faults);
  }
  const isWithdrawn = status === "withdrawn";
  const digest = digestOf(content, { intention, revision, isWithdrawn });
  return ok({ intention, revision, isWithdrawn, content, digest, origin });
}

type DigestedFields = {
  readonly intention: string;
  readonly revision: number;
  readonly isWithdrawn: boolean;
};

function digestOf(content: IntentionContent, fields: DigestedFields): string {
  const text = JSON.stringify([fields, Object.entries(content).sort()]);
  return createHash("sha256").update(text).digest("base64url").slice(0, 22);
}

function readContent(
  kind: IntentionKind,
  reader: CellReader,
): IntentionContent {
  switch (kind) {
    case "service-rule":
      return {
        kind,
        service: reader.name("service"),
        host: reader.cells.host.toLowerCase(),
        method: reader.method(),
        pathPrefix: reader.pathPrefix(),
      };
    case "backend-server":
      return {
        kind,
        service: reader.name("service"),
        address: reader.address(),
        failureDomain: reader.name("failure_domain"),
        slots: reader.integer("slots", { minimum: 1, maximum: MAXIMUM_COUNT }),
        connections: reader.integer("connections", {
          minimum: 1,
          maximum: MAXIMUM_COUNT,
        }),
      };
    case "protected":
      return {
        kind,
        service: reader.name("service"),
        method: reader.method(),
        pathPrefix: reader.pathPrefix(),
      };
    case "retiring":
      return { kind, address: reader.address() };
    case "limit":
      return {
        kind,
        service: reader.name("service"),
        name: reader.oneOf("name", LIMIT_NAMES) as LimitName,
        value: reader.integer("value", {
          minimum: 1,
          maximum: MAXIMUM_LIMIT_VALUE,
        }),
      };
    case "budget":
      return {
        kind,
        service: reader.name("service"),
        name: reader.oneOf("name", BUDGET_NAMES) as BudgetName,
        value: reader.share("value"),
      };
  }
}

type IntegerRange = { readonly minimum: number; readonly maximum: number };

/** Parses cells and collects their faults, so that all can be reported. */
class CellReader {
  readonly cells: SheetCells;
  readonly faults: CellFault[] = [];

  constructor(cells: SheetCells) {
    this.cells = cells;
  }

  name(column: SheetColumn): string {
    return this.#collect(readName(column, this.cells[column])) ?? "";
  }

  integer(column: SheetColumn, range: IntegerRange): number {
    const given = this.cells[column];
    const result = readInteger(given, { column, ...range });
    return this.#collect(result) ?? 0;
  }

  share(column: SheetColumn): number {
    return this.#collect(readShare(column, this.cells[column])) ?? 0;
  }

  address(): string {
    return this.#collect(readAddress(this.cells.address)) ?? "";
  }

  method(): string {
    const given = this.cells.method;
    if (METHOD_PATTERN.test(given)) return given;
    const expected = "an HTTP method in capitals, or nothing for any";
    this.faults.push({ column: "method", given, expected });
    return "";
  }

  pathPrefix(): string {
    const given = this.cells.path_prefix;
    if (/^\/\S*$/.test(given)) return given;
    const expected = "a path that begins with /";
    this.faults.push({ column: "path_prefix", given, expected });
    return "";
  }

  oneOf<Choice extends string>(
    column: SheetColumn,
    choices: readonly Choice[],
  ): Choice | undefined {
    const given = this.cells[column];
    const choice = choices.find((candidate) => candidate === given);
    if (choice !== undefined) return choice;
    const allowed = choices.filter((candidate) => candidate !== "");
    const expected = `one of ${allowed.join(", ")}`;
    this.faults.push({ column, given, expected });
    return undefined;
  }

  #collect<Value>(result: CellResult<Value>): Value | undefined {
    if (result.isOk()) return result.value;
    this.faults.push(result.error);
    return undefined;
  }
}

function readName(column: SheetColumn, given: string): CellResult<string> {
  if (NAME_PATTERN.test(given)) return ok(given);
  const expected = "1 to 128 letters, digits, or . _ : -";
  return err({ column, given, expected });
}

function readInteger(
  given: string,
  range: IntegerRange & { readonly column: SheetColumn },
): CellResult<number> {
  const value = Number(given);
  const isInRange = value >= range.minimum && value <= range.maximum;
  if (/^\d+$/.test(given) && isInRange) return ok(value);
  const expected = `a whole number from ${range.minimum} to ${range.maximum}`;
  return err({ column: range.column, given, expected });
}

function readShare(column: SheetColumn, given: string): CellResult<number> {
  const value = Number(given);
  const isShare = /^\d*\.?\d+$/.test(given) && value <= 1;
  if (isShare) return ok(value);
  return err({ column, given, expected: "a share from 0 to 1" });
}

function readAddress(given: string): CellResult<string> {
  if (IP_ADDRESS.test(given)) return ok(given);
  const expected = "an IP address and a port, such as 127.0.0.1:8080";
  return err({ column: "address", given, expected });
}
