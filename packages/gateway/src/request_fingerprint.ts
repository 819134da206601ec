/**
 * Tells whether two requests ask for the same work, so that one which crashes
 * servers is recognized when it comes again with another id.
 */
import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./callers/request_body.ts";

/**
 * Equal for requests that differ only in their headers other than the host. A
 * body that is not held in memory does not count.
 */
export function fingerprintOf(
  { method = "", url = "", headers }: IncomingMessage,
  body: RequestBody | undefined,
): string {
  const text = body?.kind === "buffered" ? body.bytes.toString("latin1") : "";
  return `${method} ${headers.host} ${url} ${text}`;
}
