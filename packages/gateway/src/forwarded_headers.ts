/**
 * Makes the headers with which a request is sent on to a server, or passed on to
 * a peer.
 */
import type { IncomingMessage } from "node:http";
import { ATTEMPTS_LEFT_HEADER } from "./admission.ts";
import type { ProtocolHeaders } from "./caller_protocol.ts";
import { copyEndToEndHeaders } from "./raw_headers.ts";
import type { RequestBody } from "./callers/request_body.ts";
import { FRAMING_HEADERS, framingHeaders } from "./request_framing.ts";

export type ForwardedHeadersInputs = {
  readonly request: Pick<IncomingMessage, "headers" | "rawHeaders">;
  readonly body: RequestBody;
  readonly names: ProtocolHeaders;
  readonly remainingMilliseconds: number;
  /** The only server that may run it; undefined for a peer. */
  readonly serverId: string | undefined;
  /** Servers that the request may still reach. */
  readonly attemptsLeft: number;
};

/** Subtracted from the deadline sent on, as the answer takes time to return. */
const RETURN_TRIP_MILLISECONDS = 2;

/** Raw headers: the caller's own, and those that the entry sets. */
export function forwardedHeaders(
  inputs: ForwardedHeadersInputs,
): string[] {
  const { request, body, names, serverId, attemptsLeft } = inputs;
  const replaced = new Set([
    names.deadline,
    names.expectedServer,
    ATTEMPTS_LEFT_HEADER,
    ...FRAMING_HEADERS,
  ]);
  const forwarded = copyEndToEndHeaders(
    request.rawHeaders,
    replaced,
    new Set(["host", names.requestId]),
  );
  const milliseconds = Math.floor(
    inputs.remainingMilliseconds - RETURN_TRIP_MILLISECONDS,
  );
  forwarded.push(names.deadline, String(Math.max(1, milliseconds)));
  if (serverId === undefined) {
    forwarded.push(ATTEMPTS_LEFT_HEADER, String(Math.max(1, attemptsLeft)));
  } else forwarded.push(names.expectedServer, serverId);
  forwarded.push(...framingHeaders(body, request.headers));
  return forwarded;
}
