/**
 * One attempt to run a call on one backend server.
 *
 * An attempt that failed before any byte was written to a connection, or that
 * the backend server itself refused, is proved not to have run. After every
 * other failure the outcome is unknown.
 */
import {
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request as startRequest,
} from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { isValidStatus } from "@marigoldford/http_answers/valid_status";
import type {
  AttemptEnd,
  BackendServerState,
} from "@marigoldford/kernel/backend_server_state";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Clock } from "@marigoldford/kernel/types";
import {
  type BackendSignals,
  type NotRunCause,
  readBackendSignals,
} from "./backend_protocol.ts";
import type { ConnectionPools, ConnectionUse } from "./connection_pools.ts";
import {
  ATTEMPT_HEADER,
  type BufferedCall,
  DEADLINE_HEADER,
  KEY_HEADER,
} from "./incoming_call.ts";

export type AttemptFailure =
  | { readonly kind: "connect-failed" }
  | { readonly kind: "refused"; readonly cause: NotRunCause }
  | { readonly kind: "broken" }
  | { readonly kind: "timed-out" }
  | { readonly kind: "cancelled" };

/** Whether a failure proves that the call did not run. */
export function provesNotRun(failure: AttemptFailure): boolean {
  return failure.kind === "connect-failed" || failure.kind === "refused";
}

export type AttemptHooks = {
  /** Called with the signals in an answer's headers, before its body. */
  readonly onSignals: (
    server: BackendServerState,
    signals: BackendSignals,
  ) => void;
  /** Called once, when the attempt no longer counts as in flight. */
  readonly onEnd: (attempt: Attempt, end: AttemptEnd) => void;
};

export type AttemptOptions = {
  readonly call: BufferedCall;
  readonly server: BackendServerState;
  /** 1 for the first attempt of a call. */
  readonly attemptNumber: number;
  /** Whether the request is suspected of having crashed a backend server. */
  readonly isSuspect: boolean;
  readonly use: ConnectionUse;
  readonly connectionPools: ConnectionPools;
  readonly clock: Clock;
  readonly connectTimeoutMilliseconds: number;
  readonly hooks: AttemptHooks;
};

/** Headers that belong to one connection (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

const END_OF_REFUSAL: Readonly<Record<NotRunCause, AttemptEnd>> = {
  shedding: "refused-shedding",
  starting: "refused-shedding",
  leaving: "refused-leaving",
  deadline: "cancelled",
};

const MINIMUM_SERVER_ERROR_STATUS = 500;

export class Attempt {
  readonly server: BackendServerState;
  readonly startedAtMilliseconds: number;
  readonly head: Promise<Result<IncomingMessage, AttemptFailure>>;
  readonly #options: AttemptOptions;
  readonly #request: ClientRequest;
  #settleHead!: (result: Result<IncomingMessage, AttemptFailure>) => void;
  #connectTimer: ReturnType<typeof setTimeout> | undefined;
  #mayHaveSentBytes = false;
  #hasHead = false;
  #end: AttemptEnd | undefined;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.server = options.server;
    this.startedAtMilliseconds = options.clock();
    this.head = new Promise((resolve) => this.#settleHead = resolve);
    this.server.recordStart(this.startedAtMilliseconds);
    if (options.isSuspect) this.server.suspectsInFlight += 1;
    this.#request = this.#start();
  }

  get call(): BufferedCall {
    return this.#options.call;
  }

  get end(): AttemptEnd | undefined {
    return this.#end;
  }

  /** Ends the attempt; the backend server sees its connection close. */
  cancel(end: "cancelled" | "timed-out" = "cancelled"): void {
    if (this.#end !== undefined) return;
    const failure: AttemptFailure = { kind: end };
    this.#finish(end);
    this.#settleHead(
      err(this.#mayHaveSentBytes ? failure : { kind: "connect-failed" }),
    );
    this.#request.destroy();
  }

  #start(): ClientRequest {
    const { call, server, connectionPools, use } = this.#options;
    const { host, port } = splitAddress(server.address);
    const request = startRequest({
      host,
      port,
      method: call.method,
      path: call.path,
      headers: this.#headers(),
      agent: connectionPools.agentFor(server.address, use),
      setHost: false,
    });
    request.once("socket", (socket) => this.#watchConnect(socket));
    request.once("response", (response) => this.#receive(response));
    request.once("error", () => this.#fail());
    request.end(call.body.byteLength > 0 ? call.body : undefined);
    return request;
  }

  #watchConnect(socket: Socket): void {
    if (!socket.connecting) {
      this.#mayHaveSentBytes = true;
      return;
    }
    const timeout = this.#options.connectTimeoutMilliseconds;
    this.#connectTimer = setTimeout(() => this.#request.destroy(), timeout);
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      this.#mayHaveSentBytes = true;
    });
  }

  #headers(): OutgoingHttpHeaders {
    const { call, attemptNumber, clock } = this.#options;
    const headers: OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(call.headers)) {
      if (!CONNECTION_HEADERS.has(name)) headers[name] = value;
    }
    const remainingMilliseconds = call.deadlineAtMilliseconds - clock();
    headers[DEADLINE_HEADER] = Math.max(0, Math.floor(remainingMilliseconds));
    if (attemptNumber > 1 || call.isCallerRetry) headers[ATTEMPT_HEADER] = 2;
    if (call.key !== undefined) headers[KEY_HEADER] = call.key;
    if (call.body.byteLength > 0) {
      headers["content-length"] = call.body.byteLength;
    }
    return headers;
  }

  #receive(response: IncomingMessage): void {
    if (this.#end !== undefined) return;
    if (!isValidStatus(response.statusCode)) {
      response.destroy();
      return this.#fail();
    }
    this.#hasHead = true;
    const status = response.statusCode ?? 0;
    const signals = readBackendSignals(status, response.headers);
    this.#options.hooks.onSignals(this.server, signals);
    if (signals.notRun !== undefined) {
      this.#refuse(response, signals.notRun);
      return;
    }
    response.once("close", () => this.#finish(endOf(response)));
    this.#settleHead(ok(response));
  }

  #refuse(response: IncomingMessage, cause: NotRunCause): void {
    // Refusals do not name their call: one that is sent again on this
    // connection would be taken for the refusal of the next call.
    response.destroy();
    this.#finish(END_OF_REFUSAL[cause]);
    this.#settleHead(err({ kind: "refused", cause }));
  }

  #fail(): void {
    clearTimeout(this.#connectTimer);
    if (this.#hasHead) return;
    const kind = this.#mayHaveSentBytes ? "broken" : "connect-failed";
    this.#finish(kind);
    this.#settleHead(err({ kind }));
  }

  #finish(end: AttemptEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    const now = this.#options.clock();
    const startedAt = this.startedAtMilliseconds;
    this.server.recordEnd(end, { startedAt, now });
    if (this.#options.isSuspect) this.server.suspectsInFlight -= 1;
    this.#options.hooks.onEnd(this, end);
  }
}

function endOf(response: IncomingMessage): AttemptEnd {
  if (!response.complete) return "broken";
  const isError = (response.statusCode ?? 0) >= MINIMUM_SERVER_ERROR_STATUS;
  return isError ? "error-answer" : "answered";
}

/** Headers of an answer that are forwarded to the caller. */
export function forwardableHeaders(
  response: IncomingMessage,
): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (CONNECTION_HEADERS.has(name) || name.startsWith("backend-")) continue;
    headers[name] = value;
  }
  return headers;
}
