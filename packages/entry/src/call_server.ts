/**
 * The HTTP server for callers and for the operators' pages.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { IdempotencyKey } from "@marigoldford/kernel/idempotency_key";
import type { Refusal } from "@marigoldford/kernel/refusal";
import type { RoutedCall } from "@marigoldford/kernel/routing_table";
import type { ServicePool } from "@marigoldford/kernel/service_pool";
import type { Clock, EntryState } from "@marigoldford/kernel/types";
import { Logger } from "@marigoldford/logger/logger";
import {
  streamAnswer,
  writeJson,
  writeRefusal,
  writeStoredAnswer,
} from "./answer_writer.ts";
import { CallerConnection } from "./caller_connection.ts";
import type { IdempotentCalls } from "./idempotent_calls.ts";
import {
  type IncomingCall,
  readIncomingCall,
  withBody,
} from "./incoming_call.ts";
import type { BufferedCall } from "./incoming_call.ts";
import type { IntentionManager } from "./intention_manager.ts";
import type { EntryMetrics } from "./metrics.ts";
import type { EntryOptions } from "./options.ts";
import { type ProtectedCalls, readKey } from "./protected_calls.ts";
import type { ProtectedOutcome } from "./protected_calls.ts";
import { type BodyFailure, readBody } from "./read_body.ts";
import type { ServicePools } from "./service_pools.ts";

/** A page under `/marigoldford/`. */
export type OperatorPage = {
  readonly contentType: string;
  readonly text: () => string;
};

export type CallServerOptions = {
  readonly settings: EntryOptions["calls"];
  readonly clock: Clock;
  readonly intentions: IntentionManager;
  readonly pools: ServicePools;
  readonly idempotentCalls: IdempotentCalls;
  readonly protectedCalls: ProtectedCalls;
  readonly metrics: EntryMetrics;
  readonly state: () => EntryState;
  /** Whether a new idempotent call is accepted, by the time it may take. */
  readonly isAccepting: (timeLimitMilliseconds: number) => boolean;
  readonly isQuarantined: (call: BufferedCall) => boolean;
  /** A new key to suggest to a caller, issued for this entry or for a peer. */
  readonly suggestKey: () => string | undefined;
  readonly pages: ReadonlyMap<string, OperatorPage>;
};

const PAGE_PREFIX = "/marigoldford/";
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000;
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 30_000;
const LOG = new Logger("call");

/** Refusals after which a caller may retry with a new key. */
const REASONS_WITH_SUGGESTED_KEY: ReadonlySet<Refusal["reason"]> = new Set([
  "key-missing",
  "key-closed",
  "table-full",
  "entry-leaving",
]);

export class CallServer {
  readonly #options: CallServerOptions;
  readonly #server: Server;
  #inProgress = 0;
  #onIdle: (() => void) | undefined;

  constructor(options: CallServerOptions) {
    this.#options = options;
    const { settings } = options;
    this.#server = createServer({
      maxHeaderSize: settings.maximumHeaderBytes,
      headersTimeout: settings.headerTimeoutMilliseconds,
      requestTimeout: settings.longestDeadlineMilliseconds,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
    }, (request, response) => this.#accept(request, response));
    this.#server.maxConnections = settings.maximumCallerConnections;
    this.#server.on("clientError", handleClientError);
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  listen(address: { host: string; port: number }): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Resolves when no request is in progress, or after the timeout. */
  drain(timeoutMilliseconds: number): Promise<void> {
    if (this.#inProgress === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMilliseconds);
      this.#onIdle = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    this.#inProgress += 1;
    response.once("close", () => this.#endRequest());
    response.on("error", () => {});
    if (this.#options.state() === "leaving") {
      response.setHeader("Connection", "close");
    }
    const path = request.url ?? "/";
    if (path.startsWith(PAGE_PREFIX)) this.#servePage(path, response);
    else this.#serveCall(request, response);
  }

  #endRequest(): void {
    this.#inProgress -= 1;
    if (this.#inProgress === 0) this.#onIdle?.();
  }

  #servePage(path: string, response: ServerResponse): void {
    const name = path.slice(PAGE_PREFIX.length).split("?")[0];
    const page = this.#options.pages.get(name);
    if (page === undefined) {
      const known = [...this.#options.pages.keys()].join(", ");
      const detail = `No page "${name}"; known pages: ${known}`;
      writeJson(response, { status: 404, value: { detail } });
      return;
    }
    response.writeHead(200, { "Content-Type": page.contentType });
    response.end(page.text());
  }

  async #serveCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { settings, clock, metrics } = this.#options;
    const startedAt = clock();
    metrics.calls += 1;
    const routed = this.#route(request);
    const call = readIncomingCall(request, {
      nowMilliseconds: startedAt,
      defaultMilliseconds: this.#defaultDeadlineMilliseconds(routed),
      maximumMilliseconds: settings.longestDeadlineMilliseconds,
    });
    if (call.isErr()) return this.#refuse(response, call.error);
    const body = await readBody(request, settings.maximumBodyBytes);
    if (body.isErr()) {
      return this.#refuseBody(response, { call: call.value, ...body.error });
    }
    const buffered = withBody(call.value, body.value);
    await this.#serveBuffered(buffered, { routed, response });
    const service = routed?.service.service ?? "none";
    metrics.recordDuration(service, clock() - startedAt);
  }

  async #serveBuffered(
    call: BufferedCall,
    context: { routed: RoutedCall | undefined; response: ServerResponse },
  ): Promise<void> {
    const { routed, response } = context;
    const isProtected = call.key !== undefined || routed?.isProtected === true;
    const pool = this.#options.pools.poolFor(routed);
    pool?.recordCall();
    if (isProtected) {
      return await this.#serveProtected(call, { pool, response });
    }
    const refusal = this.#refusalBeforeDispatch(call, pool);
    if (refusal !== undefined) return this.#refuse(response, refusal);
    if (pool === undefined) return;
    await this.#serveIdempotent(call, { pool, response });
  }

  #route(request: IncomingMessage): RoutedCall | undefined {
    const path = request.url ?? "/";
    const host = (request.headers.host ?? "").replace(/:\d+$/, "");
    return this.#options.intentions.routingTable.route({
      host: host.toLowerCase(),
      method: request.method ?? "GET",
      path,
    });
  }

  #defaultDeadlineMilliseconds(routed: RoutedCall | undefined): number {
    return this.#options.pools.poolFor(routed)?.deadlineMilliseconds ??
      this.#options.settings.deadlineMilliseconds;
  }

  #refusalBeforeDispatch(
    call: BufferedCall,
    pool: ServicePool | undefined,
  ): Refusal | undefined {
    const { clock, intentions, isAccepting, isQuarantined } = this.#options;
    if (!isAccepting(call.deadlineAtMilliseconds - clock())) {
      const detail = "This entry is leaving; ask another for entries";
      return { reason: "entry-leaving", detail };
    }
    if (!intentions.hasIntentions) {
      const detail = "This entry has not read any intentions yet";
      return { reason: "entry-starting", detail };
    }
    if (pool === undefined) {
      const detail = `No service rule matches ${call.method} ${call.path}`;
      return { reason: "no-service", detail };
    }
    if (!isQuarantined(call)) return undefined;
    const detail = "The request broke the connections of backend servers";
    return { reason: "quarantined", detail };
  }

  async #serveIdempotent(
    call: BufferedCall,
    context: { pool: ServicePool; response: ServerResponse },
  ): Promise<void> {
    const { pool, response } = context;
    const caller = new CallerConnection(response);
    const head = await this.#options.idempotentCalls.run(call, {
      pool,
      caller,
    });
    if (head.isErr()) return this.#refuse(response, head.error);
    const { response: backendResponse, attempt } = head.value;
    if (response.destroyed) {
      backendResponse.destroy();
      return;
    }
    this.#options.metrics.answers += 1;
    response.once("close", () => {
      if (!backendResponse.complete) backendResponse.destroy();
    });
    streamAnswer(backendResponse, response);
    this.#logAnswer(call, attempt.server.address);
  }

  async #serveProtected(
    call: BufferedCall,
    context: { pool: ServicePool | undefined; response: ServerResponse },
  ): Promise<void> {
    const key = readKey(call.key);
    if ("reason" in key) return this.#refuse(context.response, key);
    const outcome = await this.#handleProtected(call, { ...context, key });
    this.#writeOutcome(context.response, outcome);
  }

  #handleProtected(
    call: BufferedCall,
    context: {
      key: IdempotencyKey;
      pool: ServicePool | undefined;
      response: ServerResponse;
    },
  ): Promise<ProtectedOutcome> {
    const { key, pool, response } = context;
    return this.#options.protectedCalls.handle({
      call,
      key,
      pool,
      caller: response,
    });
  }

  #writeOutcome(response: ServerResponse, outcome: ProtectedOutcome): void {
    switch (outcome.kind) {
      case "streamed":
        this.#options.metrics.answers += 1;
        return;
      case "answer":
        this.#options.metrics.answers += 1;
        return writeStoredAnswer(response, outcome.answer);
      case "refusal":
        return this.#refuse(response, outcome.refusal);
    }
  }

  /**
   * A call with a key may have been sent before, and a body over the limit
   * proves nothing about that, so its refusal has the outcome `unknown`.
   */
  #refuseBody(
    response: ServerResponse,
    failure: BodyFailure & { readonly call: IncomingCall },
  ): void {
    if (failure.kind === "caller-disconnected") {
      response.destroy();
      return;
    }
    response.setHeader("Connection", "close");
    const detail = `The body is longer than ${failure.maximumBytes} bytes`;
    const isKeyed = failure.call.key !== undefined;
    const reason = isKeyed ? "keyed-body-too-large" : "body-too-large";
    this.#refuse(response, { reason, detail });
  }

  #refuse(response: ServerResponse, refusal: Refusal): void {
    this.#options.metrics.recordRefusal(refusal.reason);
    LOG.write("refused", () => ({ ...refusal }));
    if (!REASONS_WITH_SUGGESTED_KEY.has(refusal.reason)) {
      return writeRefusal(response, refusal);
    }
    const suggestedKey = this.#options.suggestKey();
    if (suggestedKey === undefined) return writeRefusal(response, refusal);
    writeRefusal(response, { ...refusal, suggestedKey });
  }

  #logAnswer(call: BufferedCall, server: string): void {
    LOG.write("answered", () => ({ call: call.id, server }));
  }
}

/**
 * Answers a request that is malformed, too large or timed out, and closes the
 * connection. It may have carried a key that was sent before, so its outcome is
 * unknown.
 */
function handleClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = statusOfClientError(error.code);
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
      "Marigoldford-Outcome: unknown\r\n" +
      "Content-Length: 0\r\nConnection: close\r\n\r\n",
  );
}

function statusOfClientError(code: string | undefined): number {
  if (code === "HPE_HEADER_OVERFLOW") return 431;
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return 408;
  return 400;
}
