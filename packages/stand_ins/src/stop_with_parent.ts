/**
 * Ends a stand-in when the process that started it is gone.
 */
import process from "node:process";

/** The parent holds the other end of standard input. */
export function stopWithParent(): void {
  process.stdin.resume();
  process.stdin.on("end", () => process.exit(0));
  process.stdin.on("error", () => process.exit(0));
  process.on("SIGTERM", () => process.exit(0));
}
