/**
 * `marigoldford sheet check`, `diff` and `explain`.
 */
import { readFile } from "node:fs/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type SheetCommandReport,
  type SheetReadFailure,
} from "./sheet_report.ts";
import { checkSheet, diffSheets, explainCall } from "./sheet_report.ts";
import { readSheet, type SheetContent } from "@marigoldford/kernel/sheet";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Says what is wrong with a sheet before it is published. */
export async function runSheetCheck(
  path: string,
  output: Output,
): Promise<ExitCode> {
  const sheet = await readSheetFile(path, 1);
  if (sheet.isErr()) return tellReadFailure(sheet.error, output);
  return tell(checkSheet(sheet.value), output);
}

/** Says what publishing `next` over `current` would change and refuse. */
export async function runSheetDiff(
  paths: { readonly current: string; readonly next: string },
  output: Output,
): Promise<ExitCode> {
  const current = await readSheetFile(paths.current, 1);
  if (current.isErr()) return tellReadFailure(current.error, output);
  const next = await readSheetFile(paths.next, 2);
  if (next.isErr()) return tellReadFailure(next.error, output);
  const change = { current: current.value, next: next.value };
  return tell(diffSheets(change), output);
}

/** Says where a call would go and by which rows. */
export async function runSheetExplain(
  path: string,
  request: {
    readonly method: string;
    readonly host: string;
    readonly path: string;
    readonly output: Output;
  },
): Promise<ExitCode> {
  const sheet = await readSheetFile(path, 1);
  if (sheet.isErr()) return tellReadFailure(sheet.error, request.output);
  return tell(explainCall(sheet.value, request), request.output);
}

async function readSheetFile(
  path: string,
  platformVersion: number,
): Promise<Result<SheetContent, SheetReadFailure>> {
  const text = await readFile(path, "utf8").catch(() => undefined);
  if (text === undefined) return err({ kind: "file-unreadable", path });
  const sheet = readSheet(text, { valueName: path, platformVersion });
  if (sheet.isErr()) return err({ kind: "sheet", path, failure: sheet.error });
  return ok(sheet.value);
}

function tell(report: SheetCommandReport, output: Output): ExitCode {
  output.result(report, () => report.lines.join("\n"));
  return report.isOk ? EXIT_CODES.ok : EXIT_CODES.failure;
}

function tellReadFailure(failure: SheetReadFailure, output: Output): ExitCode {
  if (failure.kind === "file-unreadable") {
    output.message(
      `Sheet "${failure.path}" cannot be read; ` +
        "give the path of an existing CSV file",
    );
    return EXIT_CODES.unreachable;
  }
  const { path, failure: cause } = failure;
  const detail = cause.kind === "sheet-malformed"
    ? cause.detail
    : `missing columns: ${cause.missing.join(", ") || "none"}; ` +
      `unknown columns: ${cause.unknown.join(", ") || "none"}`;
  output.message(`Sheet "${path}" cannot be read as a whole: ${detail}`);
  return EXIT_CODES.failure;
}
