/**
 * How an entry that passes a request on for a peer says which backend server
 * answered, so that what the server says of itself reaches both entries.
 *
 * The header belongs to the connection between the entries and is not passed on
 * to callers, also by a build that does not know it.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { ServerRun } from "./server_statements.ts";

const HEADER = "marigoldford-answering-server";
/** Birth of the run in Unix milliseconds, and the encoded id of the server. */
const RUN = /^(\d{1,15}) (.+)$/;

/** The raw headers that are added to the answer of a server. */
export function answeringServerHeaders(
  { id, bornAtMilliseconds }: ServerRun,
): string[] {
  return [
    HEADER,
    `${bornAtMilliseconds} ${encodeURIComponent(id)}`,
    "Connection",
    HEADER,
  ];
}

/** The run of the server that answered a peer, if the peer told it. */
export function readAnsweringServer(
  headers: IncomingHttpHeaders,
): ServerRun | undefined {
  const value = headers[HEADER];
  const match = typeof value === "string" ? RUN.exec(value) : null;
  if (match === null) return undefined;
  const [, born, id] = match;
  try {
    return {
      id: decodeURIComponent(id),
      bornAtMilliseconds: Number(born),
    };
  } catch {
    return undefined;
  }
}
