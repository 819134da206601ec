/**
 * Runs one entry as a process: starts it, prints the addresses it listens on,
 * and shuts it down on SIGTERM or SIGINT.
 *
 * The first signal starts a graceful shutdown. A second one ends the process
 * at once.
 */
import process from "node:process";
import * as Effect from "effect/Effect";
import { enableLogs } from "@marigoldford/logger/logger";
import { startEntry } from "./entry.ts";
import type { EntryOptions } from "./options.ts";

const EXIT_CODE_SECOND_SIGNAL = 130;

/** Resolves on the first signal; a second one ends the process. */
function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    let signals = 0;
    function onSignal(): void {
      signals += 1;
      if (signals > 1) process.exit(EXIT_CODE_SECOND_SIGNAL);
      resolve();
    }
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}

/** Runs until a signal; fails when the entry cannot start. */
export async function runEntryDaemon(options: EntryOptions): Promise<void> {
  if (options.log !== "") enableLogs(options.log);
  const signal = waitForSignal();
  const program = Effect.gen(function* () {
    const entry = yield* startEntry(options);
    process.stdout.write(
      JSON.stringify({
        event: "listening",
        callAddress: entry.callAddress,
        meshAddress: entry.meshAddress,
        meshListenAddress: entry.meshListenAddress,
        incarnation: entry.incarnation,
      }) + "\n",
    );
    yield* Effect.promise(() => signal);
    yield* Effect.promise(() => entry.leave());
  });
  await Effect.runPromise(Effect.scoped(program));
}
