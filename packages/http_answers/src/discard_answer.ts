/**
 * Discards the rest of an answer that is not used, so that its connection can
 * be reused. A connection on which the rest is large or slow is closed instead.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Reading more costs more than opening another connection. */
const MAXIMUM_DISCARDED_BYTES = 64 * 1024;
const MAXIMUM_DISCARD_MILLISECONDS = 1_000;

/** Reads an answer to its end, or closes its connection. */
export function discardAnswer(answer: IncomingMessage): void {
  if (answer.complete || answer.destroyed) {
    answer.resume();
    return;
  }
  let discardedBytes = 0;
  const timer = setTimeout(
    () => answer.destroy(),
    MAXIMUM_DISCARD_MILLISECONDS,
  );
  answer.on("data", (chunk: Buffer) => {
    discardedBytes += chunk.byteLength;
    if (discardedBytes > MAXIMUM_DISCARDED_BYTES) answer.destroy();
  });
  // A connection that breaks here ends nothing that is still used.
  answer.on("error", () => {});
  answer.on("close", () => clearTimeout(timer));
  answer.resume();
}
