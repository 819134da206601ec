/**
 * Where commands write: results to standard output, messages to standard
 * error, as text for people or as JSON for programs.
 */
import process from "node:process";

export type Output = {
  readonly result: (value: unknown, text: () => string) => void;
  readonly message: (text: string) => void;
};

/** An output that follows the `--json` flag. */
export function makeOutput(isJson: boolean): Output {
  return {
    result: (value, text) => {
      const line = isJson ? JSON.stringify(value) : text();
      process.stdout.write(line + "\n");
    },
    message: (text) => {
      process.stderr.write(`marigoldford: ${text}\n`);
    },
  };
}
