/**
 * Ends an answer that is given before its request has been read completely.
 *
 * The rest of the request is discarded: on a connection that stays open, the
 * next request follows it. If the connection is to be closed, closing it at
 * once would reset it, because bytes of the request are unread. The reset makes
 * the caller's own write fail and discards the answer that it has not read yet
 * (RFC 9112, section 9.6).
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";

/** A caller that sends more after the answer does not read it. */
const MAXIMUM_DISCARDED_BYTES = 16 * 1024 * 1024;
/** Enough for a caller to read the answer and stop sending. */
const MAXIMUM_DISCARD_MILLISECONDS = 2_000;

function closesConnection(response: ServerResponse): boolean {
  return !response.shouldKeepAlive ||
    response.getHeader("Connection") === "close";
}

/** Reads the rest of a request; returns a function that stops the count. */
function discardRest(
  request: IncomingMessage,
  onTooMuch: () => void,
): () => void {
  let discardedBytes = 0;
  const onData = (chunk: Buffer) => {
    discardedBytes += chunk.byteLength;
    if (discardedBytes > MAXIMUM_DISCARDED_BYTES) onTooMuch();
  };
  request.on("data", onData);
  // A destination that is being destroyed would pause the request.
  request.unpipe();
  request.resume();
  return () => request.off("data", onData);
}

/**
 * Writes the last part of an answer, whose head must declare its framing. A
 * connection that is to be closed is closed when the request has been read, or
 * when it exceeds the bounds of what is discarded.
 */
export function endAfterRequest(
  response: ServerResponse,
  lastPart?: Uint8Array,
): void {
  const request = response.req;
  if (request.complete || !closesConnection(response)) {
    response.end(lastPart);
    if (!request.complete) discardRest(request, () => request.destroy());
    return;
  }
  if (lastPart !== undefined) response.write(lastPart);
  else response.flushHeaders();
  const end = () => {
    clearTimeout(timer);
    stopCounting();
    if (!response.writableEnded) response.end();
  };
  const timer = setTimeout(end, MAXIMUM_DISCARD_MILLISECONDS);
  request.once("end", end);
  request.once("close", end);
  const stopCounting = discardRest(request, end);
}
