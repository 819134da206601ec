/**
 * The HTTP server for callers, which can stop without interrupting requests.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import type { RequestLimits } from "@marigoldford/kernel/routing_snapshot";
import type { Address, Clock } from "@marigoldford/kernel/types";
import type { ExchangeContext } from "./exchange_context.ts";
import { listenAt } from "./listen.ts";
import { RequestExchange } from "./request_exchange.ts";

/**
 * Bounds the memory of a request head; the configuration sets a lower limit.
 */
const MAXIMUM_HEADER_BYTES = 128 * 1024;
/**
 * Callers reuse connections for most of the idle timeout and never past it; the
 * entry closes them this much later.
 */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1_000;
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000;
const DEFAULT_KEEP_ALIVE_MILLISECONDS = 60_000;
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 25;
const LISTEN_BACKLOG = 1_024;

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
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      noDelay: true,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MILLISECONDS,
    }, (request, response) => {
      if (this.#isBehindClosing(request.socket)) return;
      this.#lastResponses.set(request.socket, response);
      this.#inProgress += 1;
      this.#lastRequestAtMilliseconds = this.#clock();
      response.sendDate = false;
      const exchange = new RequestExchange(exchangeContext, request, response);
      exchange.start(() => this.#inProgress -= 1);
    });
    this.#server.on("checkContinue", (request, response) => {
      response.writeContinue();
      this.#server.emit("request", request, response);
    });
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
