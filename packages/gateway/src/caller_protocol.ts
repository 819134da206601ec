/**
 * How requests and answers carry what the entry has to know beside HTTP: the
 * identity of a request, the caller's deadline, which backend server is meant,
 * whether it ran the request, and its load.
 *
 * A protocol is a plug-in. Most differ in header names only and are made by
 * `headerProtocol`.
 */
import type { IncomingMessage } from "node:http";
import { PlugInRegistry } from "@marigoldford/kernel/plug_ins";
import type { ServerReport } from "@marigoldford/kernel/server_load";
import type { AnswerHeaders } from "./answer_head.ts";

/** Names of the headers, in lower case. */
export type ProtocolHeaders = {
  /** Identity of one request of a caller; echoed by backend servers. */
  readonly requestId: string;
  /** Time that the caller will wait, in milliseconds. */
  readonly deadline: string;
  /** Id of the only backend server that may run the request. */
  readonly expectedServer: string;
  /** Proof that an answer was made by a backend server. */
  readonly signature: string;
  /** Present when the backend server did not run the request. */
  readonly notExecuted: string;
  /** Id of the backend server that answers. */
  readonly serverId: string;
  /** Load of the backend server; see `parseLoad`. */
  readonly load: string;
};

export type CallerProtocol = {
  readonly headers: ProtocolHeaders;
  /** Reads a load header; undefined if it is missing or malformed. */
  readonly readLoad: (headers: AnswerHeaders) => ServerReport | undefined;
};

/** Makes a plug-in; its context is empty, its options are the names. */
export function makeHeaderProtocol(headers: ProtocolHeaders): CallerProtocol {
  return {
    headers,
    readLoad: (answer) => parseLoad(singleHeader(answer, headers.load)),
  };
}

/** Caller protocols by name. */
export const CALLER_PROTOCOLS = new PlugInRegistry<CallerProtocol>();

CALLER_PROTOCOLS.register(
  "marigoldford",
  makeHeaderProtocol({
    requestId: "marigoldford-request-id",
    deadline: "marigoldford-deadline-milliseconds",
    expectedServer: "marigoldford-server",
    signature: "marigoldford-answered-by",
    notExecuted: "marigoldford-not-run",
    serverId: "marigoldford-server-id",
    load: "marigoldford-load",
  }),
);

/** The one value of a header; repeated headers count as missing. */
export function headerValue(
  message: IncomingMessage,
  name: string,
): string | undefined {
  return singleHeader(message.headers, name);
}

/** The same for the headers alone. */
export function singleHeader(
  headers: AnswerHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

const PERCENT = 100;

/**
 * Reads `running,waiting,slots[,percent]`; the last figure is the time that
 * work takes at the moment, in percent of the usual.
 */
function parseLoad(text: string | undefined): ServerReport | undefined {
  if (text === undefined) return undefined;
  const figures = text.split(",").map((part) => Number(part.trim()));
  if (figures.length < 3) return undefined;
  if (figures.some((figure) => !Number.isFinite(figure) || figure < 0)) {
    return undefined;
  }
  const [running, waiting, slots, percent = PERCENT] = figures;
  return { running, waiting, slots, slowdown: percent / PERCENT };
}
