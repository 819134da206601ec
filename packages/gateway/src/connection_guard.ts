/**
 * Protects the HTTP servers of an entry against callers that it does not
 * control: carries out what the kernel decides on connections, requests and the
 * memory that they use.
 *
 * Node's HTTP server reads all requests of a received chunk, up to 64 KiB,
 * before any back pressure acts. A connection with too many of them is
 * therefore closed while the chunk is being read.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { getHeapStatistics } from "node:v8";
import { ConnectionSlots } from "@marigoldford/kernel/connection_slots";
import {
  REFUSED_REQUEST_BYTES,
  RequestBudget,
  requestCost,
} from "@marigoldford/kernel/request_budget";
import type { WriteEvent } from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { GatewayOptions } from "./options.ts";

export type ServerRole = "calls" | "peers" | "auxiliary";

export type GuardOptions = {
  readonly limits: GatewayOptions["limits"];
  readonly metrics?: GatewayMetrics;
  readonly writeEvent?: WriteEvent;
};

export type GuardedHandlers = {
  readonly serve: (request: IncomingMessage, response: ServerResponse) => void;
  /** Answers without running; missing if requests are never refused. */
  readonly refuse?: (
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ) => void;
  /** Header whose value a refusal echoes, in lower case. */
  readonly requestIdHeader?: string;
};

type GuardedConnection = {
  readonly slots: ConnectionSlots<Socket>;
  readonly responses: Set<ServerResponse>;
};

/** What Node's server keeps at a connection, beside its documented parts. */
type ParsingSocket = Socket & {
  readonly parser?: {
    onIncoming: unknown;
    /** Names and values of a head that has not ended. */
    readonly _headers?: readonly string[];
  } | null;
};

const MEGABYTE = 1_048_576;
/** The program beside its heap takes 60 MB, its own heap 20 to 30 MB. */
const OWN_MEMORY_MEGABYTES = 90;
const OWN_HEAP_MEGABYTES = 20;
/** V8 adds three young generations of 16 MB to the limit of the old one. */
const YOUNG_GENERATION_MEGABYTES = 48;
/** The rest is for garbage, which a flood leaves faster than it is collected. */
const BUDGET_SHARE = 0.4;
const MINIMUM_BUDGET_MEGABYTES = 2;
const DEFAULT_DESCRIPTORS = 4_096;
/** The rest is for connections to servers and messages between entries. */
const SHARE_OF_DESCRIPTORS: Readonly<Record<ServerRole, number>> = {
  calls: 1 / 2,
  // Beyond the largest fleet that was played, which has one for each peer.
  peers: 3 / 16,
  auxiliary: 1 / 32,
};
/** Callers of the platform send one request at a time on a connection. */
const DEFAULT_UNANSWERED = 64;
const MAXIMUM_AUXILIARY_UNANSWERED = 16;
const SWEEP_INTERVAL_MILLISECONDS = 50;
/** Fewer connections cannot hold more than the budget of a small instance. */
const MINIMUM_SWEPT_CONNECTIONS = 16;
const MAXIMUM_BUFFERED_BODY_BYTES = 64 * 1024;
/** Memory of a name or value in a head that has not ended. */
const HEAD_TEXT_BYTES = 40;

function budgetBytes(memoryMegabytes: number | undefined): number {
  const heap = getHeapStatistics().heap_size_limit / MEGABYTE;
  const free = Math.min(
    (memoryMegabytes ?? Infinity) - OWN_MEMORY_MEGABYTES,
    heap - YOUNG_GENERATION_MEGABYTES - OWN_HEAP_MEGABYTES,
  );
  return Math.max(MINIMUM_BUDGET_MEGABYTES, free * BUDGET_SHARE) * MEGABYTE;
}

function sizeOf({ rawHeaders, headers }: IncomingMessage) {
  const length = Number(headers["content-length"] ?? 0);
  return {
    headerLines: rawHeaders.length / 2,
    headerBytes: rawHeaders.reduce((sum, text) => sum + text.length, 0),
    bodyBytes: headers["transfer-encoding"] === undefined
      ? Math.min(length, MAXIMUM_BUFFERED_BODY_BYTES)
      : MAXIMUM_BUFFERED_BODY_BYTES,
  };
}

/**
 * Lets no further request of a connection be read, also while Node reads them
 * from a chunk.
 */
function stopReading(socket: Socket): void {
  const { parser } = socket as ParsingSocket;
  // Node stops reading a chunk at a request that switches the protocol.
  if (parser) parser.onIncoming = () => 2;
}

export class ConnectionGuard {
  readonly #options: GuardOptions;
  readonly #budget: RequestBudget<Socket>;
  readonly #connections = new Map<Socket, GuardedConnection>();
  #sweepTimer: ReturnType<typeof setInterval> | undefined;

  constructor(options: GuardOptions) {
    this.#options = options;
    this.#budget = new RequestBudget(
      budgetBytes(options.limits?.memoryMegabytes),
    );
  }

  /** Estimated memory of requests in progress and unread answers. */
  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  /** `server` must be created without a listener and not require a host. */
  attach(server: Server, role: ServerRole, handlers: GuardedHandlers): void {
    const { descriptors = DEFAULT_DESCRIPTORS } = this.#options.limits ?? {};
    const maximum = Math.floor(descriptors * SHARE_OF_DESCRIPTORS[role]);
    const slots = new ConnectionSlots<Socket>(Math.max(2, maximum));
    // By default, Node drops header lines after the first thousand.
    server.maxHeadersCount = 0;
    server.on("connection", (socket) => this.#accept(socket, slots, role));
    server.on("request", (request, response) => {
      if (this.#admit(request, response, role, handlers)) {
        handlers.serve(request, response);
      }
    });
    server.on("checkExpectation", (request, response) => {
      if (this.#admit(request, response, role, handlers)) {
        response.writeHead(417).end();
      }
    });
  }

  #accept(
    socket: Socket,
    slots: ConnectionSlots<Socket>,
    role: ServerRole,
  ): void {
    const excess = slots.add(socket);
    if (excess !== undefined) this.#close(excess, "connections", role);
    if (excess === socket) return;
    const connection = { slots, responses: new Set<ServerResponse>() };
    this.#connections.set(socket, connection);
    if (this.#connections.size >= MINIMUM_SWEPT_CONNECTIONS) {
      this.#sweepTimer ??= setInterval(
        () => this.#sweep(),
        SWEEP_INTERVAL_MILLISECONDS,
      ).unref();
    }
    socket.on("close", () => {
      slots.remove(socket);
      this.#connections.delete(socket);
      this.#budget.forget(socket);
      if (this.#connections.size === 0) {
        // Below the minimum the last sweeps still release what was counted.
        clearInterval(this.#sweepTimer);
        this.#sweepTimer = undefined;
      }
      // Node closes only the response whose turn it is.
      setImmediate(() => {
        for (const response of connection.responses) response.emit("close");
      });
    });
  }

  #admit(
    request: IncomingMessage,
    response: ServerResponse,
    role: ServerRole,
    { refuse, requestIdHeader = "" }: GuardedHandlers,
  ): boolean {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (connection === undefined || socket.destroyed) return false;
    const { unansweredRequests = DEFAULT_UNANSWERED } = this.#options.limits ??
      {};
    const maximumUnanswered = role === "auxiliary"
      ? MAXIMUM_AUXILIARY_UNANSWERED
      : unansweredRequests;
    const size = sizeOf(request);
    const cost = requestCost(size);
    const decision = this.#budget.decide(socket, {
      cost,
      headCost: requestCost({ ...size, bodyBytes: 0 }),
      maximumUnanswered,
    });
    if (decision === "close") {
      this.#close(socket, "unanswered-requests", role);
      return false;
    }
    const isRefused = decision !== "serve" && refuse !== undefined;
    const isCheap = isRefused || refuse === undefined;
    const held = isCheap ? REFUSED_REQUEST_BYTES : cost;
    this.#hold(socket, connection, response, held);
    this.#closeExcess();
    if (socket.destroyed) return false;
    const { host, [requestIdHeader]: id } = request.headers;
    if (host === undefined && request.httpVersion === "1.1") {
      response.writeHead(400, { Connection: "close" }).end();
      return false;
    }
    if (!isRefused) return true;
    if (decision === "refuse-last") {
      stopReading(socket);
      response.shouldKeepAlive = false;
    }
    // The head may be large, and the refusal needs nothing else of it.
    request.headers = {};
    request.rawHeaders = [];
    this.#options.metrics?.incrementCounter("guard_requests_refused");
    this.#report("request-refused", "memory", role);
    refuse(request, response, typeof id === "string" ? id : "");
    return false;
  }

  #hold(
    socket: Socket,
    connection: GuardedConnection,
    response: ServerResponse,
    bytes: number,
  ): void {
    const { slots, responses } = connection;
    this.#budget.add(socket, bytes);
    responses.add(response);
    slots.markBusy(socket);
    response.once("close", () => {
      responses.delete(response);
      this.#budget.remove(socket, bytes);
      if (responses.size === 0) slots.markIdle(socket);
    });
  }

  /** Counts bytes that callers do not read, and heads that are incomplete. */
  #sweep(): void {
    for (const [socket, { responses }] of this.#connections) {
      const { parser } = socket as ParsingSocket;
      let bytes = (parser?._headers?.length ?? 0) * HEAD_TEXT_BYTES;
      for (const { writableLength } of responses) bytes += writableLength;
      this.#budget.setUnread(socket, bytes);
    }
    this.#closeExcess();
  }

  #closeExcess(): void {
    for (;;) {
      const socket = this.#budget.connectionToClose();
      if (socket === undefined) return;
      this.#close(socket, "memory");
    }
  }

  #close(socket: Socket, reason: string, role?: ServerRole): void {
    this.#budget.forget(socket);
    stopReading(socket);
    socket.destroy();
    this.#options.metrics?.incrementCounter("guard_connections_closed");
    this.#report("connection-closed", reason, role);
  }

  #report(
    event: "request-refused" | "connection-closed",
    reason: string,
    role: ServerRole | undefined,
  ): void {
    this.#options.writeEvent?.({
      event: "caller-limited",
      action: event,
      reason,
      server: role,
      heldBytes: Math.round(this.heldBytes),
    });
  }
}
