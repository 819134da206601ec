/**
 * Parses a sheet: CSV text with one intention per row.
 *
 * Rows with invalid cells are rejected one by one and the others are used. The
 * whole sheet is rejected only if it is not CSV or its header is invalid.
 */
import { parse } from "csv-parse/sync";
import { err, ok, type Result } from "neverthrow";
import type { IntentionRow } from "./intention.ts";
import {
  type CellFault,
  readSheetRow,
  SHEET_COLUMNS,
  type SheetCells,
  type SheetColumn,
} from "./sheet_row.ts";

export type SheetSource = {
  /** Name of the platform's value or of the file. */
  readonly valueName: string;
  readonly platformVersion: number;
};

/** An invalid cell, with the line of its row. */
export type SheetRowFault = CellFault & { readonly line: number };

/** The reason why a sheet is rejected as a whole. */
export type SheetFailure =
  | { readonly kind: "sheet-malformed"; readonly detail: string }
  | {
    readonly kind: "header-malformed";
    readonly missing: readonly string[];
    readonly unknown: readonly string[];
  };

export type SheetContent = {
  readonly rows: IntentionRow[];
  readonly faults: SheetRowFault[];
};

type RecordWithInfo = {
  readonly record: string[];
  readonly info: { readonly lines: number };
};

const REQUIRED_COLUMNS: readonly SheetColumn[] = [
  "intention",
  "revision",
  "kind",
];

/** Parses CSV text. Line numbers start at 1, the line of the header. */
export function readSheet(
  text: string,
  source: SheetSource,
): Result<SheetContent, SheetFailure> {
  const records = parseRecords(text);
  if (records.isErr()) return err(records.error);
  const [head, ...body] = records.value;
  const columns = head?.record ?? [];
  const failure = checkHeader(columns);
  if (failure !== undefined) return err(failure);
  return ok(readBody(columns, { body, source }));
}

function parseRecords(text: string): Result<RecordWithInfo[], SheetFailure> {
  try {
    const records = parse(text, {
      info: true,
      bom: true,
      trim: true,
      skip_empty_lines: true,
      relax_column_count: true,
    });
    return ok(records as unknown as RecordWithInfo[]);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err({ kind: "sheet-malformed", detail });
  }
}

function checkHeader(columns: readonly string[]): SheetFailure | undefined {
  const known: readonly string[] = SHEET_COLUMNS;
  const missing = REQUIRED_COLUMNS.filter((name) => !columns.includes(name));
  const unknown = columns.filter((name) => !known.includes(name));
  if (missing.length === 0 && unknown.length === 0) return undefined;
  return { kind: "header-malformed", missing, unknown };
}

type SheetBody = {
  readonly body: readonly RecordWithInfo[];
  readonly source: SheetSource;
};

function readBody(columns: readonly string[], sheet: SheetBody): SheetContent {
  const content: SheetContent = { rows: [], faults: [] };
  for (const { record, info } of sheet.body) {
    const origin = { ...sheet.source, line: info.lines };
    const row = readSheetRow(toCells(columns, record), origin);
    if (row.isOk()) {
      content.rows.push(row.value);
      continue;
    }
    for (const fault of row.error) {
      content.faults.push({ ...fault, line: info.lines });
    }
  }
  return content;
}

function toCells(
  columns: readonly string[],
  record: readonly string[],
): SheetCells {
  const cells = SHEET_COLUMNS.map((column) => {
    const index = columns.indexOf(column);
    return [column, index < 0 ? "" : record[index] ?? ""] as const;
  });
  return Object.fromEntries(cells) as Record<SheetColumn, string>;
}
