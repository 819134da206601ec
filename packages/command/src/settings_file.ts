/**
 * Reads and validates settings files; all faults of a file are reported.
 */
import { readFile } from "node:fs/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type EntryOptions,
  normalizeOptions,
} from "@marigoldford/entry/options";
import type { OptionFault } from "@marigoldford/entry/options";

export type SettingsFailure =
  | { readonly kind: "file-unreadable"; readonly path: string }
  | {
    readonly kind: "json-malformed";
    readonly path: string;
    readonly detail: string;
  }
  | {
    readonly kind: "settings-faulty";
    readonly path: string;
    readonly faults: readonly OptionFault[];
  };

/** Reads and validates a settings file. */
export async function readSettings(
  path: string,
): Promise<Result<EntryOptions, SettingsFailure>> {
  const text = await readFile(path, "utf8").catch(() => undefined);
  if (text === undefined) return err({ kind: "file-unreadable", path });
  const parsed = parseJson(text, path);
  if (parsed.isErr()) return err(parsed.error);
  return normalizeOptions(parsed.value).mapErr((faults) => ({
    kind: "settings-faulty",
    path,
    faults,
  }));
}

function parseJson(
  text: string,
  path: string,
): Result<unknown, SettingsFailure> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err({ kind: "json-malformed", path, detail });
  }
}

/** Describes a failure: what was given, what is expected and what to do. */
export function describeSettingsFailure(failure: SettingsFailure): string {
  switch (failure.kind) {
    case "file-unreadable":
      return `Settings file "${failure.path}" cannot be read; ` +
        "give the path of an existing JSON file with --settings";
    case "json-malformed":
      return `Settings file "${failure.path}" is not JSON: ${failure.detail}`;
    case "settings-faulty":
      return [
        `Settings file "${failure.path}" has ${failure.faults.length} faults:`,
        ...failure.faults.map(({ path, given, expected }) =>
          `  ${path}: given ${given}, expected ${expected}`
        ),
      ].join("\n");
  }
}
