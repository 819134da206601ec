/**
 * What the heads of requests announce, and what they hold in memory.
 */
import type { IncomingMessage } from "node:http";
import type { RequestSize } from "@marigoldford/kernel/request_budget";

/** Larger bodies are streamed. */
export const MAXIMUM_BUFFERED_BODY_BYTES = 64 * 1024;

/** Memory that a request takes, by its head. */
export function sizeOf(
  { rawHeaders, headers, url = "" }: IncomingMessage,
): RequestSize {
  const length = Number(headers["content-length"] ?? 0);
  return {
    headerLines: rawHeaders.length / 2,
    headerBytes: rawHeaders.reduce(
      (sum, text) => sum + text.length,
      url.length,
    ),
    bodyBytes: headers["transfer-encoding"] === undefined
      ? Math.min(length, MAXIMUM_BUFFERED_BODY_BYTES)
      : MAXIMUM_BUFFERED_BODY_BYTES,
  };
}

/** A head may be large, and a refusal needs nothing but its framing. */
export function releaseHead(request: IncomingMessage): void {
  const {
    "content-length": length,
    "transfer-encoding": encoding,
  } = request.headers;
  request.headers = {
    ...(length === undefined ? {} : { "content-length": length }),
    ...(encoding === undefined ? {} : { "transfer-encoding": encoding }),
  };
  request.rawHeaders = [];
  request.url = "";
}
