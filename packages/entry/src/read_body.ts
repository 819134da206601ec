/**
 * Reads a request's body into memory, up to a limit.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

export type BodyFailure =
  | { readonly kind: "body-too-large"; readonly maximumBytes: number }
  | { readonly kind: "caller-disconnected" };

const EMPTY = Buffer.alloc(0);

function hasNoBody(request: IncomingMessage): boolean {
  const { headers } = request;
  const length = headers["content-length"];
  if (headers["transfer-encoding"] !== undefined) return false;
  return length === undefined || length === "0";
}

/** Resolves with the complete body; stops reading beyond the limit. */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, BodyFailure>> {
  if (hasNoBody(request)) return Promise.resolve(ok(EMPTY));
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maximumBytes) {
    return Promise.resolve(
      err({ kind: "body-too-large", maximumBytes }),
    );
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes <= maximumBytes) {
        chunks.push(chunk);
        return;
      }
      request.pause();
      resolve(err({ kind: "body-too-large", maximumBytes }));
    });
    request.once("end", () => resolve(ok(Buffer.concat(chunks))));
    request.once("close", () => resolve(err({ kind: "caller-disconnected" })));
  });
}
