/**
 * Output of the commands: results go to standard output, as text for people
 * or as JSON for programs, and messages to standard error.
 */
import process from "node:process";

export type Output = {
  readonly result: (value: unknown, text: () => string) => void;
  readonly message: (text: string) => void;
};

/** Makes an output that prints results as JSON if `isJson` is set. */
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
