/**
 * Reads the body of a caller's request: small bodies are buffered, so that they
 * can be sent again; larger ones are streamed.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { MAXIMUM_BUFFERED_BODY_BYTES } from "./request_head.ts";

/** A body held in memory, or one that is still arriving. */
export type RequestBody =
  | { readonly kind: "buffered"; readonly bytes: Buffer }
  | {
    readonly kind: "stream";
    /** The part that has been read; the caller of this must send it. */
    readonly takeBuffered: () => readonly Buffer[];
    readonly source: IncomingMessage;
  };

export type BodyHooks = {
  /** Called once, when the body is complete or has exceeded the buffer. */
  readonly onBody: (body: RequestBody) => void;
  /** Called when a body without a declared length exceeds the limit. */
  readonly onTooLarge: () => void;
};

/** More chunks are merged, as each takes memory beside its bytes. */
const MAXIMUM_BUFFERED_CHUNKS = 256;

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
}

/**
 * Returns a function that stops reading and releases what has been read, for a
 * request that is not sent any more.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  { onBody, onTooLarge }: BodyHooks,
): () => void {
  if (!hasBody(request)) {
    onBody({ kind: "buffered", bytes: Buffer.alloc(0) });
    return () => {};
  }
  let chunks: Buffer[] = [];
  let received = 0;
  const takeBuffered = () => {
    const taken = chunks;
    chunks = [];
    return taken;
  };
  const onData = (chunk: Buffer) => {
    chunks.push(chunk);
    received += chunk.byteLength;
    if (chunks.length > MAXIMUM_BUFFERED_CHUNKS) {
      chunks = [Buffer.concat(chunks)];
    }
    if (received <= MAXIMUM_BUFFERED_BODY_BYTES) return;
    stopBuffering();
    request.pause();
    limitStreamedBytes(request, received, { maximumBytes, onTooLarge });
    onBody({ kind: "stream", takeBuffered, source: request });
  };
  const onEnd = () => {
    onBody({ kind: "buffered", bytes: Buffer.concat(takeBuffered()) });
  };
  const stopBuffering = () => {
    request.off("data", onData);
    request.off("end", onEnd);
  };
  request.on("data", onData);
  request.on("end", onEnd);
  return () => {
    stopBuffering();
    takeBuffered();
  };
}

function limitStreamedBytes(
  request: IncomingMessage,
  received: number,
  limit: { maximumBytes: number; onTooLarge: () => void },
): void {
  let total = received;
  request.on("data", (chunk: Buffer) => {
    total += chunk.byteLength;
    if (total > limit.maximumBytes) limit.onTooLarge();
  });
  // Adding a data listener starts the stream, but the attempt is to start it.
  request.pause();
}
