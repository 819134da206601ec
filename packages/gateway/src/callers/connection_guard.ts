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
import { ConnectionSlots } from "@marigoldford/kernel/connection_slots";
import {
  REFUSED_REQUEST_BYTES,
  RequestBudget,
  requestCost,
  type RequestDecision,
} from "@marigoldford/kernel/request_budget";
import type { WriteEvent } from "../events.ts";
import type { GatewayMetrics } from "../metrics.ts";
import type { GatewayOptions } from "../options.ts";
import {
  budgetBytes,
  maximumConnections,
  maximumUnanswered,
  type ServerRole,
} from "./guard_limits.ts";
import {
  MAXIMUM_BUFFERED_BODY_BYTES,
  releaseHead,
  sizeOf,
} from "./request_head.ts";
import { BodyPacing } from "./body_pacing.ts";
import { GuardedConnection } from "./guarded_connection.ts";
import { HeadPacing } from "./head_pacing.ts";
import { ReadingTurns } from "./reading_turns.ts";
import { endUnreadableRequests } from "./unreadable_requests.ts";

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

type DecidedSize = {
  readonly cost: number;
  readonly headCost: number;
  readonly maximumUnanswered: number;
};

/** Their answers depend on the path only. */
const AUXILIARY_HEADER_LINES = 128;
const SWEEP_INTERVAL_MILLISECONDS = 50;
/** Fewer connections cannot hold more than the budget of a small instance. */
const MINIMUM_SWEPT_CONNECTIONS = 16;
/** Late callers mostly hold as much as the request that needs the room. */
const MAXIMUM_CLOSED_TO_MAKE_ROOM = 4;
/** Memory of a name or value in a head that has not ended. */
const HEAD_TEXT_BYTES = 40;

export class ConnectionGuard {
  readonly #options: GuardOptions;
  readonly #budget: RequestBudget<Socket>;
  readonly #connections = new Map<Socket, GuardedConnection>();
  readonly #headPacing: HeadPacing;
  readonly #bodyPacing: BodyPacing;
  readonly #heldBytes = new WeakMap<ServerResponse, number>();
  #sweepTimer: ReturnType<typeof setInterval> | undefined;

  constructor(options: GuardOptions) {
    this.#options = options;
    this.#budget = new RequestBudget(
      budgetBytes(options.limits),
    );
    const clock = () => performance.now();
    const readingTurns = new ReadingTurns(() =>
      options.metrics?.incrementCounter("guard_reading_waits")
    );
    this.#headPacing = new HeadPacing({ clock, readingTurns });
    this.#bodyPacing = new BodyPacing({
      clock,
      readingTurns,
      smallChunksPerSecond: options.limits?.smallChunksPerSecond,
    });
  }

  /** Estimated memory of requests in progress and unread answers. */
  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  /** `server` must be created without a listener and not require a host. */
  attach(server: Server, role: ServerRole, handlers: GuardedHandlers): void {
    const slots = new ConnectionSlots<Socket>(
      maximumConnections(this.#options.limits, role),
      (socket) => this.#connections.get(socket)?.debt.lateMilliseconds ?? 0,
    );
    // Node drops the lines after these, a thousand by default.
    server.maxHeadersCount = role === "auxiliary" ? AUXILIARY_HEADER_LINES : 0;
    server.on("connection", (socket) => this.#accept(socket, slots, role));
    server.on("request", (request, response) => {
      if (this.#admit(request, response, role, handlers)) {
        handlers.serve(request, response);
      }
    });
    endUnreadableRequests(
      server,
      (socket) => this.#connections.get(socket as Socket),
    );
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
    const connection = new GuardedConnection(socket, slots);
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
      if (this.#connections.size === 0) {
        // Below the minimum the last sweeps still release what was counted.
        clearInterval(this.#sweepTimer);
        this.#sweepTimer = undefined;
      }
      // Node closes only the response whose turn it is.
      setImmediate(() => {
        for (const response of connection.responses) response.emit("close");
        this.#budget.forget(socket);
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
    if (connection === undefined || connection.isEnding || socket.destroyed) {
      return false;
    }
    const size = sizeOf(request);
    const mayReadOn = this.#headPacing.count(connection, size);
    if (!mayReadOn && role === "auxiliary") {
      this.#close(socket, "requests-ahead", role);
      return false;
    }
    if (size.bodyBytes >= MAXIMUM_BUFFERED_BODY_BYTES) {
      this.#bodyPacing.attach(request, response);
    }
    const cost = requestCost(size);
    const decision = this.#decide(socket, {
      cost,
      headCost: requestCost({ ...size, bodyBytes: 0 }),
      maximumUnanswered: maximumUnanswered(this.#options.limits, role),
    });
    if (decision === "close") {
      this.#close(socket, "unanswered-requests", role);
      return false;
    }
    const isRefused = decision !== "serve" && refuse !== undefined;
    const isCheap = isRefused || refuse === undefined;
    const held = isCheap ? REFUSED_REQUEST_BYTES : cost;
    this.#hold(connection, request, response, held);
    this.#closeExcess(socket);
    if (socket.destroyed) return false;
    const { host, [requestIdHeader]: id } = request.headers;
    const isCut = role === "auxiliary" &&
      size.headerLines >= AUXILIARY_HEADER_LINES;
    if (host === undefined && request.httpVersion === "1.1" && !isCut) {
      response.writeHead(400, { Connection: "close" }).end();
      return false;
    }
    if (!isRefused) return true;
    if (decision === "refuse-last") {
      connection.stopReading();
      response.shouldKeepAlive = false;
    }
    releaseHead(request);
    this.#options.metrics?.incrementCounter("guard_requests_refused");
    this.#report("request-refused", "memory", role);
    refuse(request, response, typeof id === "string" ? id : "");
    return false;
  }

  /** Closes connections of late callers, as far as that makes room. */
  #decide(socket: Socket, size: DecidedSize): RequestDecision {
    let decision = this.#budget.decide(socket, size);
    for (let closed = 0; closed < MAXIMUM_CLOSED_TO_MAKE_ROOM; closed++) {
      if (decision === "serve" || decision === "close") break;
      const late = this.#budget.connectionToMakeRoom(socket);
      if (late === undefined) break;
      this.#close(late, "late");
      // It has one request at most, whose memory is free at once.
      this.#budget.forget(late);
      decision = this.#budget.decide(socket, size);
    }
    return decision;
  }

  #hold(
    connection: GuardedConnection,
    request: IncomingMessage,
    response: ServerResponse,
    bytes: number,
  ): void {
    const { socket, responses } = connection;
    this.#budget.add(socket, bytes);
    this.#heldBytes.set(response, bytes);
    connection.addRequest(request, response);
    response.once("close", () => {
      responses.delete(response);
      this.#release(response);
      if (request.complete || socket.destroyed) {
        return connection.endRequest(request);
      }
      // The rest of the request is still to be read.
      this.#budget.add(socket, REFUSED_REQUEST_BYTES);
      request.once("close", () => {
        this.#budget.remove(socket, REFUSED_REQUEST_BYTES);
        connection.endRequest(request);
      });
    });
  }

  /** Counts memory that a request holds beyond what its head announced. */
  extend(response: ServerResponse, bytes: number): void {
    const held = this.#heldBytes.get(response);
    if (held === undefined) return;
    this.#heldBytes.set(response, held + bytes);
    this.#budget.extend(response.req.socket, bytes);
    this.#closeExcess();
  }

  #release(response: ServerResponse): void {
    const bytes = this.#heldBytes.get(response) ?? 0;
    this.#heldBytes.delete(response);
    this.#budget.remove(response.req.socket, bytes);
  }

  /**
   * Counts bytes that callers do not read, and heads that are incomplete, and
   * finds out who is late.
   */
  #sweep(): void {
    const now = performance.now();
    for (const [socket, connection] of this.#connections) {
      const { unreadBytes, incompleteHeadTexts, debt } = connection;
      connection.updateDebt(unreadBytes, now);
      const bytes = unreadBytes + incompleteHeadTexts * HEAD_TEXT_BYTES;
      this.#budget.setUnread(socket, bytes, debt.lateMilliseconds);
    }
    this.#closeExcess();
  }

  #closeExcess(current?: Socket): void {
    for (;;) {
      const socket = this.#budget.connectionToClose(current);
      if (socket === undefined) return;
      this.#close(socket, "memory");
    }
  }

  #close(socket: Socket, reason: string, role?: ServerRole): void {
    this.#budget.markClosing(socket);
    this.#connections.get(socket)?.stopReading();
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
