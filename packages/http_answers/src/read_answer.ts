/**
 * Collects the body of a small answer in memory.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/**
 * - `too-large`: the body exceeds the limit; its connection was closed.
 * - `truncated`: the connection ended before the body did.
 */
export type AnswerFailure = {
  readonly kind: "too-large" | "truncated";
  readonly detail: string;
};

/**
 * Reads a body of at most `maximumBytes`. The caller bounds the time by
 * destroying the request, which counts as `truncated`.
 */
export function readAnswer(
  answer: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, AnswerFailure>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    answer.on("data", (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes <= maximumBytes) return void chunks.push(chunk);
      chunks.length = 0;
      answer.destroy();
      resolve(err({
        kind: "too-large",
        detail: `Answer exceeds ${maximumBytes} bytes; its connection ` +
          "was closed",
      }));
    });
    let failure = "";
    answer.on("error", (error) => failure = `: ${error.message}`);
    answer.on("close", () => {
      if (answer.complete) return resolve(ok(Buffer.concat(chunks)));
      resolve(err({
        kind: "truncated",
        detail: `Answer truncated after ${bytes} bytes${failure}`,
      }));
    });
  });
}
