/**
 * Decides how the body of a request is delimited when it is sent on.
 *
 * The entry alone decides it, from the body that it has read. No header of the
 * caller is copied for it, as a body without a delimiter would be read as
 * further requests (RFC 9112, sections 6 and 11.2).
 */
import type { IncomingHttpHeaders } from "node:http";
import type { RequestBody } from "./callers/request_body.ts";

/** Headers of the caller that `framingHeaders` replaces. */
export const FRAMING_HEADERS = ["content-length", "transfer-encoding"] as const;

/** The raw headers that delimit a body; `received` are the caller's headers. */
export function framingHeaders(
  body: RequestBody,
  received: IncomingHttpHeaders,
): string[] {
  // The HTTP parser has checked the length, and refuses it beside chunks.
  const declaredLength = received["content-length"];
  if (body.kind === "stream") {
    return declaredLength === undefined
      ? ["transfer-encoding", "chunked"]
      : ["content-length", declaredLength];
  }
  const { byteLength } = body.bytes;
  return byteLength > 0 || declaredLength !== undefined
    ? ["content-length", String(byteLength)]
    : [];
}
