/**
 * Reads the body of a caller's request: small ones are kept, so that they can
 * be sent again, larger ones are handed on while they arrive.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** A body that is at hand, or one that still arrives. */
export type RequestBody =
  | { readonly kind: "whole"; readonly bytes: Buffer }
  | {
    readonly kind: "stream";
    readonly bufferedChunks: readonly Buffer[];
    readonly source: IncomingMessage;
  };

export type BodyHooks = {
  /** Called once, when a small body is at hand or a large one has begun. */
  readonly onBody: (body: RequestBody) => void;
  /** A body of unknown length has grown beyond the limit. */
  readonly onTooLarge: () => void;
};

/** Bodies up to this size are kept so that they can be sent again. */
const KEPT_BODY_BYTES = 64 * 1024;

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
}

export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  { onBody, onTooLarge }: BodyHooks,
): void {
  if (!hasBody(request)) {
    return onBody({ kind: "whole", bytes: Buffer.alloc(0) });
  }
  const chunks: Buffer[] = [];
  let received = 0;
  const onData = (chunk: Buffer) => {
    chunks.push(chunk);
    received += chunk.byteLength;
    if (received <= KEPT_BODY_BYTES) return;
    request.off("data", onData);
    request.off("end", onEnd);
    request.pause();
    watchSize(request, received, { maximumBytes, onTooLarge });
    onBody({ kind: "stream", bufferedChunks: chunks, source: request });
  };
  const onEnd = () => {
    onBody({ kind: "whole", bytes: Buffer.concat(chunks) });
  };
  request.on("data", onData);
  request.on("end", onEnd);
}

function watchSize(
  request: IncomingMessage,
  received: number,
  limit: { maximumBytes: number; onTooLarge: () => void },
): void {
  let total = received;
  request.on("data", (chunk: Buffer) => {
    total += chunk.byteLength;
    if (total > limit.maximumBytes) limit.onTooLarge();
  });
  // A listener for data sets the request flowing; the attempt does that.
  request.pause();
}
