/**
 * Runs a gateway entry as a process. Seeds are read from the settings file at
 * each use; on SIGHUP the entry logs whether the file is valid.
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

const EXIT_CODE_FAULT = 1;
const EXIT_CODE_INVALID_SETTINGS = 2;

export type SettingsUnreadable = {
  readonly kind: "settings-unreadable";
  readonly detail: string;
};

/** What the instance has, where the settings file does not say so. */
export type InstanceLimits = {
  readonly memoryMegabytes?: number | undefined;
  readonly descriptors?: number | undefined;
};

/** Reads and validates a settings file. */
export function readSettings(
  path: string,
  limits: InstanceLimits = {},
): Result<GatewayOptions, SettingsUnreadable | OptionsInvalid> {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(path, "utf8"));
  } catch (error) {
    const detail = `${path}: ${String(error)}; expected a JSON file`;
    return err({ kind: "settings-unreadable", detail });
  }
  return parseGatewayOptions(value).map((options) => ({
    ...options,
    limits: { ...definedOf(limits), ...options.limits },
  }));
}

function definedOf({ memoryMegabytes, descriptors }: InstanceLimits) {
  return {
    ...(memoryMegabytes === undefined ? {} : { memoryMegabytes }),
    ...(descriptors === undefined ? {} : { descriptors }),
  };
}

/**
 * Runs until SIGTERM, SIGINT or an uncaught exception, of which the first one
 * counts; resolves to the exit code.
 */
export async function runGateway(
  settingsPath: string,
  limits: InstanceLimits = {},
): Promise<number> {
  const settings = readSettings(settingsPath, limits);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.kind}: ${settings.error.detail}\n`);
    return EXIT_CODE_INVALID_SETTINGS;
  }
  const stopSignal = new Promise<number>((resolve) => {
    // Without a handler, a second signal would end the process at once.
    process.on("SIGTERM", () => resolve(0));
    process.on("SIGINT", () => resolve(0));
  });
  const program = Effect.gen(function* () {
    const gateway = yield* startGateway(
      settings.value,
      () => readSettings(settingsPath).unwrapOr(settings.value).seeds,
    );
    process.on("SIGHUP", () => {
      const reloaded = readSettings(settingsPath);
      gateway.logReload(reloaded.isOk() ? "seeds read" : reloaded.error.detail);
    });
    const fault = new Promise<number>((resolve) => {
      // The entry may be damaged, but the requests that it has still get answers.
      process.on("uncaughtException", (error) => {
        gateway.logFault(error);
        resolve(EXIT_CODE_FAULT);
      });
    });
    const exitCode = yield* Effect.promise(() =>
      Promise.race([stopSignal, fault])
    );
    yield* Effect.promise(() => gateway.leave());
    return exitCode;
  });
  return await Effect.runPromise(Effect.scoped(program));
}
