/**
 * Exits a child process when the process that started it has exited.
 */
import process from "node:process";

/** Standard input is a pipe from the parent and ends when the parent exits. */
export function stopWithParent(): void {
  process.stdin.resume();
  process.stdin.on("end", () => process.exit(0));
  process.stdin.on("error", () => process.exit(0));
  process.on("SIGTERM", () => process.exit(0));
}
