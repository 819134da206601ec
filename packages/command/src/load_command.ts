/**
 * `marigoldford load`: open-loop load on running entries.
 */
import {
  LoadGenerator,
  type LoadResult,
} from "@marigoldford/load/load_generator";
import type { LoadGeneratorOptions } from "@marigoldford/load/load_generator";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Sends repeatable calls and prints counts and latencies. */
export async function runLoad(
  options: LoadGeneratorOptions,
  output: Output,
): Promise<ExitCode> {
  const result = await new LoadGenerator(options).run();
  output.result(result, () => describe(result));
  if (result.answered === 0) return EXIT_CODES.unreachable;
  const isClean = result.answered === result.calls;
  return isClean ? EXIT_CODES.ok : EXIT_CODES.failure;
}

function describe(result: LoadResult): string {
  return [
    `calls ${result.calls}, answered ${result.answered}`,
    `errors ${result.errors}, refused ${result.refused}, lost ${result.lost}`,
    `p50 ${result.p50Milliseconds} ms, p99 ${result.p99Milliseconds} ms, ` +
    `p99.9 ${result.p999Milliseconds} ms, from the intended start`,
  ].join("\n");
}
