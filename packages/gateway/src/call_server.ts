/**
 * The HTTP server for callers, and how it stops without cutting a request.
 */
import { createServer, type Server } from "node:http";
import type { RequestLimits } from "@marigoldford/kernel/routing_snapshot";
import type { Address, Clock } from "@marigoldford/kernel/types";
import type { ExchangeContext } from "./exchange_context.ts";
import { listenAt } from "./listen.ts";
import { RequestExchange } from "./request_exchange.ts";

/** Bounds the memory for a head; the configuration sets a lower limit. */
const MAXIMUM_HEADER_BYTES = 128 * 1024;
/** Callers reuse connections for most of the idle time-out, never past it. */
const IDLE_MARGIN_MILLISECONDS = 1_000;
const CHECK_CONNECTIONS_MILLISECONDS = 1_000;
const DEFAULT_IDLE_MILLISECONDS = 60_000;
const BACKLOG = 1_024;

export class CallServer {
  readonly #server: Server;
  readonly #clock: Clock;
  #inProgress = 0;
  #lastRequestAt = -Infinity;

  constructor(context: ExchangeContext) {
    this.#clock = context.clock;
    this.#server = createServer({
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      noDelay: true,
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_CONNECTIONS_MILLISECONDS,
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
    }, (request, response) => {
      this.#inProgress += 1;
      this.#lastRequestAt = this.#clock();
      response.sendDate = false;
      const exchange = new RequestExchange(context, request, response);
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

  /** Time since the last request arrived. */
  get idleMilliseconds(): number {
    return this.#clock() - this.#lastRequestAt;
  }

  open(address: Address): Promise<void> {
    return listenAt(this.#server, address, { backlog: BACKLOG });
  }

  /** A longer idle time counts at once; connections keep theirs. */
  setLimits(limits: RequestLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds +
      IDLE_MARGIN_MILLISECONDS;
  }

  /** Stops listening and closes connections that carry no request. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  closeAll(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
