/**
 * `marigoldford entry` and `marigoldford settings check`.
 */
import { runEntryDaemon } from "@marigoldford/entry/daemon";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";
import { describeSettingsFailure, readSettings } from "./settings_file.ts";

/** Runs the daemon; it never starts on faulty settings. */
export async function runEntry(
  settingsPath: string,
  output: Output,
): Promise<ExitCode> {
  const settings = await readSettings(settingsPath);
  if (settings.isErr()) {
    output.message(describeSettingsFailure(settings.error));
    return settings.error.kind === "file-unreadable"
      ? EXIT_CODES.unreachable
      : EXIT_CODES.failure;
  }
  try {
    await runEntryDaemon(settings.value);
    return EXIT_CODES.ok;
  } catch (error) {
    output.message(error instanceof Error ? error.message : String(error));
    return EXIT_CODES.unreachable;
  }
}

/** Checks a settings file and prints it with its defaults filled in. */
export async function checkSettings(
  settingsPath: string,
  output: Output,
): Promise<ExitCode> {
  const settings = await readSettings(settingsPath);
  if (settings.isOk()) {
    output.result(
      { ok: true, settings: settings.value },
      () => JSON.stringify(settings.value, undefined, 2),
    );
    return EXIT_CODES.ok;
  }
  const text = describeSettingsFailure(settings.error);
  output.result({ ok: false, failure: settings.error }, () => text);
  return settings.error.kind === "file-unreadable"
    ? EXIT_CODES.unreachable
    : EXIT_CODES.failure;
}
