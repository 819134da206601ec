/**
 * `marigoldford load`: sends open-loop load to running entries.
 */
import {
  LoadGenerator,
  type LoadResult,
} from "@marigoldford/load/load_generator";
import type { LoadGeneratorOptions } from "@marigoldford/load/load_generator";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Sends idempotent calls and prints their counts and latencies. */
export async function runLoad(
  options: LoadGeneratorOptions,
  output: Output,
): Promise<ExitCode> {
  const result = await new LoadGenerator(options).run();
  output.result(result, () => describeResult(result));
  if (result.answered === 0) return EXIT_CODES.unreachable;
  const isEveryCallAnswered = result.answered === result.calls;
  return isEveryCallAnswered ? EXIT_CODES.ok : EXIT_CODES.failure;
}

function describeResult(result: LoadResult): string {
  return [
    `calls ${result.calls}, answered ${result.answered}`,
    `errors ${result.errors}, refused ${result.refused}, lost ${result.lost}`,
    `p50 ${result.p50Milliseconds} ms, p99 ${result.p99Milliseconds} ms, ` +
    `p99.9 ${result.p999Milliseconds} ms, from the scheduled start`,
  ].join("\n");
}
