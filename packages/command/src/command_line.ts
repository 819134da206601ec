/**
 * Defines the commands with their flags and examples, using `cac`.
 *
 * The module of a command is imported only when the command is used, which
 * saves memory in the daemon.
 */
import { type CAC, cac } from "cac";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { makeOutput } from "./output.ts";

export const VERSION = "0.1.0";

type CommonFlags = { readonly json?: boolean };
type EntryFlags = CommonFlags & { readonly settings?: string };
type CallFlags = CommonFlags & {
  readonly entry?: string | string[];
  readonly method?: string;
  readonly body?: string;
  readonly key?: string;
  readonly deadlineMilliseconds?: number;
};
type LoadFlags = CommonFlags & {
  readonly entry?: string | string[];
  readonly callsPerSecond: number;
  readonly seconds: number;
  readonly deadlineMilliseconds: number;
  readonly seed: number;
};
type ExplainRouteFlags = CommonFlags & {
  readonly entry?: string | string[];
  readonly host?: string;
  readonly method?: string;
  readonly all?: boolean;
};
type StatusFlags = CommonFlags & { readonly entry?: string };
type ExplainFlags = CommonFlags & {
  readonly method?: string;
  readonly host?: string;
};

/** Parses and runs a command line; resolves with the exit code. */
export async function runCommandLine(
  commandArguments: readonly string[],
): Promise<ExitCode> {
  const program = cac("marigoldford");
  let result: Promise<ExitCode> | undefined;
  defineCommands(program, (exitCode) => result = exitCode);
  program.help();
  program.version(VERSION);
  const { message } = makeOutput(false);
  try {
    program.parse(["node", "marigoldford", ...joinRoute(commandArguments)]);
  } catch (error) {
    message(`${describeUsageError(error)}; see marigoldford --help`);
    return EXIT_CODES.usage;
  }
  if (result !== undefined) return await result;
  const { help, version } = program.options;
  if (help === true || version === true) return EXIT_CODES.ok;
  const commandText = commandArguments.join(" ");
  message(`Unknown command "${commandText}"; see marigoldford --help`);
  return EXIT_CODES.usage;
}

/**
 * Replaces `explain route` by the name of the command, as `cac` matches only
 * the first word and would take `route` for the id of a request.
 */
function joinRoute(words: readonly string[]): readonly string[] {
  const second = words.findIndex((word, index) =>
    index > 0 && !word.startsWith("-")
  );
  if (words[0] !== "explain" || words[second] !== "route") return words;
  return ["explain-route", ...words.filter((_, at) => at > 0 && at !== second)];
}

function describeUsageError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Receives the promise of the started command's exit code. */
type Run = (exitCode: Promise<ExitCode>) => void;

function defineCommands(program: CAC, run: Run): void {
  defineEntryCommand(program, run);
  defineSettingsCommand(program, run);
  defineSheetCommands(program, run);
  defineCallCommand(program, run);
  defineStatusCommand(program, run);
  defineLoadCommand(program, run);
  defineExplainCommand(program, run);
  defineExplainRouteCommand(program, run);
}

function missingFlag(flag: string, flags: CommonFlags): Promise<ExitCode> {
  const output = makeOutput(flags.json === true);
  output.message(`Flag ${flag} is missing; see marigoldford --help`);
  return Promise.resolve(EXIT_CODES.usage);
}

function defineEntryCommand(program: CAC, run: Run): void {
  program.command("entry", "Run an entry daemon")
    .option("--settings <file>", "Settings file (JSON)")
    .example("marigoldford entry --settings entry.json")
    .action((flags: EntryFlags) => {
      const { settings } = flags;
      if (settings === undefined) return run(missingFlag("--settings", flags));
      run(
        import("./entry_command.ts").then(({ runEntry }) =>
          runEntry(settings, makeOutput(flags.json === true))
        ),
      );
    });
}

function defineSettingsCommand(program: CAC, run: Run): void {
  program.command("settings <action> <file>", "Check a settings file")
    .option("--json", "Print JSON")
    .example("marigoldford settings check entry.json")
    .action((action: string, file: string, flags: CommonFlags) => {
      const output = makeOutput(flags.json === true);
      if (action !== "check") {
        output.message(`Unknown action "settings ${action}"; expected check`);
        return run(Promise.resolve(EXIT_CODES.usage));
      }
      run(
        import("./entry_command.ts").then(({ checkSettings }) =>
          checkSettings(file, output)
        ),
      );
    });
}

function defineSheetCommands(program: CAC, run: Run): void {
  program.command("sheet <action> [...files]", "Check, diff or explain sheets")
    .option("--json", "Print JSON")
    .option("--method <method>", "Method of the call to explain", {
      default: "GET",
    })
    .option("--host <host>", "Host of the call to explain", { default: "" })
    .example("marigoldford sheet check morning.csv")
    .example("marigoldford sheet diff published.csv morning.csv")
    .example("marigoldford sheet explain morning.csv /gatecheck/helmet/7")
    .action((action: string, files: string[], flags: ExplainFlags) => {
      run(runSheetAction(action, { files, flags }));
    });
}

function defineExplainCommand(program: CAC, run: Run): void {
  program.command(
    "explain <id> [...files]",
    "Show what happened to a request, from the logs of gateway entries",
  )
    .option("--json", "Print JSON")
    .example("marigoldford explain 6c985bf9a6b68986 entry-*.log")
    .action((id: string, files: string[], flags: CommonFlags) => {
      run(
        import("./explain_command.ts").then(({ runExplain }) =>
          runExplain(String(id), files, makeOutput(flags.json === true))
        ),
      );
    });
}

function defineExplainRouteCommand(program: CAC, run: Run): void {
  program.command(
    "explain-route <path>",
    "Show where an entry would send a request now (also: explain route)",
  )
    .option("--entry <address>", "Metrics address of the entry")
    .option("--host <host>", "Host of the request", { default: "" })
    .option("--method <method>", "Method of the request", { default: "GET" })
    .option("--all", "List all candidates instead of the first 20")
    .option("--json", "Print JSON")
    .example(
      "marigoldford explain route /read/x --host shop.example " +
        "--entry 127.0.0.1:9100",
    )
    .action((path: string, flags: ExplainRouteFlags) => {
      if (flags.entry === undefined) return run(missingFlag("--entry", flags));
      const query = {
        entry: String(flags.entry),
        path: String(path),
        host: String(flags.host),
        method: String(flags.method),
        isComplete: flags.all === true,
      };
      run(
        import("./explain_route_command.ts").then(({ runExplainRoute }) =>
          runExplainRoute(query, makeOutput(flags.json === true))
        ),
      );
    });
}

async function runSheetAction(
  action: string,
  input: { readonly files: readonly string[]; readonly flags: ExplainFlags },
): Promise<ExitCode> {
  const output = makeOutput(input.flags.json === true);
  const [first, second] = input.files;
  const sheet = await import("./sheet_command.ts");
  if (action === "check" && first !== undefined) {
    return await sheet.runSheetCheck(first, output);
  }
  if (action === "diff" && second !== undefined) {
    return await sheet.runSheetDiff({ current: first, next: second }, output);
  }
  if (action === "explain" && second !== undefined) {
    return await sheet.runSheetExplain(first, {
      method: input.flags.method ?? "GET",
      host: input.flags.host ?? "",
      path: second,
      output,
    });
  }
  output.message(
    `Given "sheet ${action}" with ${input.files.length} files; expected ` +
      "check FILE, diff CURRENT NEXT, or explain FILE PATH",
  );
  return EXIT_CODES.usage;
}

function defineCallCommand(program: CAC, run: Run): void {
  program.command("call <path>", "Send one call to an entry")
    .option("--entry <address>", "Address of an entry; may be repeated")
    .option("--method <method>", "HTTP method", { default: "GET" })
    .option("--body <text>", "Body of the request")
    .option("--key <key>", "Idempotency key of an earlier call, to resend it")
    .option("--deadline-milliseconds <number>", "Deadline of the call", {
      default: 2_000,
    })
    .option("--json", "Print JSON")
    .example("marigoldford call /gatecheck/helmet/7 --entry 127.0.0.1:8080")
    .action((path: string, flags: CallFlags) => {
      if (flags.entry === undefined) return run(missingFlag("--entry", flags));
      const entries = [flags.entry].flat();
      run(
        import("./call_command.ts").then(({ runCall }) =>
          runCall({
            entries,
            path,
            method: flags.method ?? "GET",
            ...(flags.body === undefined ? {} : { body: flags.body }),
            ...(flags.key === undefined ? {} : { key: flags.key }),
            deadlineMilliseconds: Number(flags.deadlineMilliseconds),
          }, makeOutput(flags.json === true))
        ),
      );
    });
}

function defineStatusCommand(program: CAC, run: Run): void {
  program.command("status", "Show the status of an entry")
    .option("--entry <address>", "Address of the entry")
    .option("--json", "Print JSON")
    .example("marigoldford status --entry 127.0.0.1:8080")
    .action((flags: StatusFlags) => {
      const { entry } = flags;
      if (entry === undefined) return run(missingFlag("--entry", flags));
      run(
        import("./call_command.ts").then(({ showStatus }) =>
          showStatus(entry, makeOutput(flags.json === true))
        ),
      );
    });
}

function defineLoadCommand(program: CAC, run: Run): void {
  program.command("load <path>", "Send open-loop load and print latencies")
    .option("--entry <address>", "Address of an entry; may be repeated")
    .option("--calls-per-second <number>", "Mean call rate", { default: 100 })
    .option("--seconds <number>", "Duration", { default: 10 })
    .option("--deadline-milliseconds <number>", "Deadline of each call", {
      default: 2_000,
    })
    .option("--seed <number>", "Random seed of the arrival times", {
      default: 1,
    })
    .option("--json", "Print JSON")
    .example(
      "marigoldford load /gatecheck/helmet --entry 127.0.0.1:8080 --seconds 5",
    )
    .action((path: string, flags: LoadFlags) => {
      if (flags.entry === undefined) return run(missingFlag("--entry", flags));
      const addresses = [flags.entry].flat();
      run(
        import("./load_command.ts").then(({ runLoad }) =>
          runLoad({
            addresses,
            path,
            callsPerSecond: Number(flags.callsPerSecond),
            seconds: Number(flags.seconds),
            warmUpSeconds: 0,
            deadlineMilliseconds: Number(flags.deadlineMilliseconds),
            seed: Number(flags.seed),
          }, makeOutput(flags.json === true))
        ),
      );
    });
}
