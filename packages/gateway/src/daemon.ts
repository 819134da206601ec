/**
 * Runs a gateway as a process: reads its settings, obeys signals, ends.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import * as Effect from "effect/Effect";
import { err, type Result } from "neverthrow";
import { startGateway } from "./gateway.ts";
import {
  type GatewayOptions,
  type OptionsInvalid,
  parseGatewayOptions,
} from "./options.ts";

const EXIT_CODE_BAD_SETTINGS = 2;

export type SettingsUnreadable = {
  readonly kind: "settings-unreadable";
  readonly detail: string;
};

/** Reads and checks a settings file. */
export function readSettings(
  path: string,
): Result<GatewayOptions, SettingsUnreadable | OptionsInvalid> {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(path, "utf8"));
  } catch (error) {
    const detail = `${path}: ${String(error)}; expected a JSON file`;
    return err({ kind: "settings-unreadable", detail });
  }
  return parseGatewayOptions(value);
}

/** Runs until the process is told to stop; resolves with the exit code. */
export async function runGateway(settingsPath: string): Promise<number> {
  const settings = readSettings(settingsPath);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.kind}: ${settings.error.detail}\n`);
    return EXIT_CODE_BAD_SETTINGS;
  }
  const stop = new Promise<void>((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
  const program = Effect.gen(function* () {
    const gateway = yield* startGateway(
      settings.value,
      () => readSettings(settingsPath).unwrapOr(settings.value).seeds,
    );
    process.on("SIGHUP", () => {
      const reread = readSettings(settingsPath);
      gateway.logReload(reread.isOk() ? "seeds read" : reread.error.detail);
    });
    yield* Effect.promise(() => stop);
    yield* Effect.promise(() => gateway.leave());
    return 0;
  });
  return await Effect.runPromise(Effect.scoped(program));
}
