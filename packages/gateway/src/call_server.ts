/**
 * The HTTP server for callers, which can stop without interrupting requests.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import type { RequestLimits } from "@marigoldford/kernel/routing_snapshot";
import type { Address, Clock } from "@marigoldford/kernel/types";
import { AnswerWriter } from "./answer_writer.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { listenAt } from "./listen.ts";
import { RequestExchange } from "./request_exchange.ts";

/** Bounds the memory of a request head until a configuration is known. */
const MAXIMUM_HEADER_BYTES = 128 * 1024;
/**
 * Node closes the connection of a larger head; smaller ones than this multiple
 * of the configured limit are answered with 431.
 */
const MAXIMUM_HEADER_MULTIPLE = 2;
/**
 * Callers reuse connections for most of the idle timeout and never past it; the
 * entry closes them this much later.
 */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1_000;
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000;
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 60_000;
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 25;
const LISTEN_BACKLOG = 1_024;
/** As for requests that a starting entry refuses. */
const REFUSAL_RETRY_AFTER_SECONDS = "0.5";

export class CallServer {
  readonly #server: Server;
  readonly #clock: Clock;
  /** The last request of a connection may wait for the answers before it. */
  readonly #lastResponses = new WeakMap<Socket, ServerResponse>();
  #inProgress = 0;
  #lastRequestAtMilliseconds = -Infinity;

  constructor(context: ExchangeContext) {
    this.#clock = context.clock;
    const exchangeContext: ExchangeContext = {
      ...context,
      mayKeepConnections: (response) =>
        context.mayKeepConnections(response) || this.#isFollowed(response),
    };
    const refusal: string[] = ["Retry-After", REFUSAL_RETRY_AFTER_SECONDS];
    const { notExecuted, requestId } = context.protocol.headers;
    if (context.origin === "peer") refusal.push(notExecuted, "1");
    this.#server = createServer({
      requireHostHeader: false,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      noDelay: true,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MILLISECONDS,
    });
    const role = context.origin === "peer" ? "peers" : "calls";
    context.guard.attach(this.#server, role, {
      serve: (request, response) => {
        if (!this.#begin(response)) return;
        const exchange = new RequestExchange(
          exchangeContext,
          request,
          response,
        );
        exchange.start(() => this.#inProgress -= 1);
      },
      requestIdHeader: requestId,
      refuse: (request, response, id) => {
        if (!this.#begin(response)) return;
        response.once("close", () => this.#inProgress -= 1);
        context.metrics.recordOutcome("refused");
        const writer = new AnswerWriter({
          request,
          response,
          mayKeepConnection: exchangeContext.mayKeepConnections,
          addedHeaders: () => [],
        });
        const headers = id === "" ? refusal : [...refusal, requestId, id];
        writer.writeLocalAnswer(503, [...headers], "too-many-requests");
      },
    });
    this.#server.on("checkContinue", (request, response) => {
      response.writeContinue();
      this.#server.emit("request", request, response);
    });
  }

  /** Counts a request; returns whether it can still be answered. */
  #begin(response: ServerResponse): boolean {
    const { socket } = response.req;
    if (this.#isBehindClosing(socket)) return false;
    this.#lastResponses.set(socket, response);
    this.#inProgress += 1;
    this.#lastRequestAtMilliseconds = this.#clock();
    response.sendDate = false;
    return true;
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  /** Whether another request has arrived behind that of a response. */
  #isFollowed(response: ServerResponse): boolean {
    return this.#lastResponses.get(response.req.socket) !== response;
  }

  /** Whether an answer that closes the connection leaves no room for another. */
  #isBehindClosing(socket: Socket): boolean {
    const last = this.#lastResponses.get(socket);
    return last !== undefined && last.headersSent && !last.shouldKeepAlive;
  }

  /** Time since the last request arrived. */
  get idleMilliseconds(): number {
    return this.#clock() - this.#lastRequestAtMilliseconds;
  }

  open(address: Address): Promise<void> {
    return listenAt(this.#server, address, { backlog: LISTEN_BACKLOG });
  }

  /** Connections that are idle keep their timeout until the next request. */
  setLimits(limits: RequestLimits): void {
    // Node reads it for each connection, but its types omit that.
    Object.assign(this.#server, {
      maxHeaderSize: limits.maximumHeaderBytes * MAXIMUM_HEADER_MULTIPLE,
    });
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds +
      KEEP_ALIVE_MARGIN_MILLISECONDS;
  }

  /**
   * Stops listening, answers the requests that have been read, and closes all
   * connections, so that no other is read. Returns how many were left without
   * an answer at the given time.
   */
  async drain(untilMilliseconds: number): Promise<number> {
    // Lets connections be accepted that the close would reset.
    await setImmediate();
    this.#server.close();
    this.#server.closeIdleConnections();
    // Requests may be on their way on connections that were just accepted.
    do {
      await sleep(DRAIN_CHECK_INTERVAL_MILLISECONDS);
    } while (this.#inProgress > 0 && this.#clock() < untilMilliseconds);
    const requestsCut = this.#inProgress;
    this.#server.closeAllConnections();
    return requestsCut;
  }

  closeAll(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
