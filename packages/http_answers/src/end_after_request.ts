/**
 * Ends an answer that is given before its request has been read completely.
 *
 * The rest of the request is discarded: on a connection that stays open, the
 * next request follows it. If the rest stalls, the connection is closed.
 *
 * If the connection is to be closed, closing it at once would reset it, because
 * bytes of the request are unread. The reset makes the caller's own write fail
 * and discards the answer that it has not read yet (RFC 9112, section 9.6).
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

type Discarding = {
  readonly bytes: () => number;
  /** Stops the count. */
  readonly stop: () => void;
};

function discardRest(
  request: IncomingMessage,
  onTooMuch: () => void,
): Discarding {
  let discardedBytes = 0;
  const onData = (chunk: Buffer) => {
    discardedBytes += chunk.byteLength;
    if (discardedBytes > MAXIMUM_DISCARDED_BYTES) onTooMuch();
  };
  request.on("data", onData);
  // A destination that is being destroyed would pause the request.
  request.unpipe();
  request.resume();
  return {
    bytes: () => discardedBytes,
    stop: () => request.off("data", onData),
  };
}

/** Discards the rest on a connection that stays open, unless it stalls. */
function discardBeforeNextRequest(request: IncomingMessage): void {
  const { socket } = request;
  const end = () => request.destroy();
  const discarding = discardRest(request, end);
  let discardedBytes = 0;
  const timer = setInterval(() => {
    const isStalled = discarding.bytes() === discardedBytes;
    discardedBytes = discarding.bytes();
    if (isStalled) end();
  }, MAXIMUM_DISCARD_MILLISECONDS).unref();
  const stop = () => {
    clearInterval(timer);
    request.off("end", stop);
    socket.off("close", stop);
  };
  request.once("end", stop);
  socket.once("close", stop);
}

/** A request without a body is not complete yet while its head is handled. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
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
    if (request.complete) return;
    if (hasBody(request)) discardBeforeNextRequest(request);
    else request.resume();
    return;
  }
  if (lastPart !== undefined) response.write(lastPart);
  else response.flushHeaders();
  const end = () => {
    clearTimeout(timer);
    discarding.stop();
    if (!response.writableEnded) response.end();
  };
  const timer = setTimeout(end, MAXIMUM_DISCARD_MILLISECONDS);
  request.once("end", end);
  request.once("close", end);
  const discarding = discardRest(request, end);
}
