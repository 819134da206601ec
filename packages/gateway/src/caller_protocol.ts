/**
 * How requests and answers carry what the entry needs beyond plain HTTP: the id
 * of a request, the caller's deadline, the backend server that may run it,
 * whether that server ran it, and the load of the server.
 *
 * A protocol is a plug-in. Most differ in header names only and are created
 * with `makeHeaderProtocol`.
 */
import type { IncomingMessage } from "node:http";
import { PlugInRegistry } from "@marigoldford/kernel/plug_ins";
import type { ServerReport } from "@marigoldford/kernel/server_load";
import type { ServerStatement } from "@marigoldford/kernel/server_restrictions";
import type { AnswerHead, AnswerHeaders } from "./answer_head.ts";

/** Header names in lower case. */
export type ProtocolHeaders = {
  /** Id of a caller's request, which backend servers echo. */
  readonly requestId: string;
  /** How long the caller will wait, in milliseconds. */
  readonly deadline: string;
  /** Id of the only backend server that may run the request. */
  readonly expectedServer: string;
  /** Proves that a backend server generated the answer. */
  readonly signature: string;
  /** Present when the backend server did not run the request. */
  readonly notExecuted: string;
  /** Id of the answering backend server. */
  readonly serverId: string;
  /** Load of the backend server; see `parseLoad`. */
  readonly load: string;
};

/** What an answer says of its server, and the headers that say it wrongly. */
export type StatementReading = {
  readonly statement: ServerStatement;
  readonly malformed: readonly string[];
};

export type StatementReader = (answer: AnswerHead) => StatementReading;

/** An answer to a request that was run, or one to a load probe or a refusal. */
export type LoadCarrier = "answer" | "probe";

export type CallerProtocol = {
  readonly headers: ProtocolHeaders;
  /**
   * Reads a load header, without the request that is answered; undefined if it
   * is missing or malformed.
   */
  readonly readLoad: (
    headers: AnswerHeaders,
    carrier: LoadCarrier,
  ) => ServerReport | undefined;
  /** Reads what an answer says of the server that sent it. */
  readonly readStatement: StatementReader;
};

const SAYS_NOTHING: StatementReading = {
  statement: { requestLimit: "none", isLeaving: false, pauseMilliseconds: 0 },
  malformed: [],
};

/**
 * Creates a protocol that differs from others in its header names, in what
 * servers say of themselves, and in whether they count a request as running
 * when they answer it. By default they say nothing and do not count it.
 */
export function makeHeaderProtocol(
  headers: ProtocolHeaders,
  readStatement: StatementReader = () => SAYS_NOTHING,
  { countsAnswered = false } = {},
): CallerProtocol {
  return {
    headers,
    readLoad: (answer, carrier) => {
      const report = parseLoad(singleHeader(answer, headers.load));
      if (report === undefined || !countsAnswered || carrier === "probe") {
        return report;
      }
      return { ...report, running: Math.max(0, report.running - 1) };
    },
    readStatement,
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

/** Value of a header; undefined if it is missing or repeated. */
export function headerValue(
  message: IncomingMessage,
  name: string,
): string | undefined {
  return singleHeader(message.headers, name);
}

/** Like `headerValue`, for headers without their message. */
export function singleHeader(
  headers: AnswerHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}

const PERCENT = 100;
const COUNT = /^\d{1,6}$/;
const DECIMAL_NUMBER = /^\d{1,6}(\.\d{1,9})?$/;
/** Beyond these, a figure is a mistake and would mislead every estimate. */
const SLOWDOWN_PERCENT = { minimum: 1, maximum: 100_000 };

/**
 * Parses `running,waiting,slots[,percent]`; the last number is the current
 * service time in percent of the usual one.
 */
function parseLoad(text: string | undefined): ServerReport | undefined {
  if (text === undefined) return undefined;
  const parts = text.split(",").map((part) => part.trim());
  const counts = parts.slice(0, 3);
  if (counts.length < 3 || !counts.every((part) => COUNT.test(part))) {
    return undefined;
  }
  const [running, waiting, slots] = counts.map(Number);
  const percentText = parts[3] ?? String(PERCENT);
  if (slots < 1 || !DECIMAL_NUMBER.test(percentText)) return undefined;
  const percent = Number(percentText);
  const { minimum, maximum } = SLOWDOWN_PERCENT;
  if (percent < minimum || percent > maximum) return undefined;
  return { running, waiting, slots, slowdown: percent / PERCENT };
}
