/**
 * Connection pool for one run of a backend server.
 *
 * A connection on which bytes arrive while no request is pending is destroyed:
 * the bytes belong to no request. Idle connections are closed before the server
 * closes them, so that no request is sent on a connection that is being closed.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

export type ServerConnectionsOptions = {
  readonly maximumSockets: number;
  /** Idle connections are closed after this time. */
  readonly idleMilliseconds: number;
};

type IdleHandler = () => void;

const IDLE_HANDLERS = new WeakMap<Socket, IdleHandler>();

const FAILED_SOCKETS = new WeakSet<Socket>();

/** Servers ignore an empty line before a request (RFC 9112, section 2.2). */
const EMPTY_LINE = "\r\n";

/** Records whether a connection ends by an error, such as a reset. */
export function trackSocketErrors(socket: Socket): void {
  socket.prependListener("error", () => FAILED_SOCKETS.add(socket));
}

/**
 * Detects whether a connection that has ended was closed or reset. Node reports
 * a reset that arrives together with the last bytes as a plain end; only a
 * write fails then. Must be called when the end is reported, before Node closes
 * the connection.
 */
export function detectReset(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (!socket.writable) return resolve();
    socket.write(EMPTY_LINE, (error) => {
      if (error) FAILED_SOCKETS.add(socket);
      resolve();
    });
  });
}

/** Whether a connection is known to have failed. */
export function hasSocketFailed(socket: Socket): boolean {
  return FAILED_SOCKETS.has(socket);
}

export class ServerConnections extends Agent {
  readonly #idleMilliseconds: number;
  #isDraining = false;

  constructor(options: ServerConnectionsOptions) {
    super({
      keepAlive: true,
      scheduling: "lifo",
      maxSockets: options.maximumSockets,
      maxFreeSockets: options.maximumSockets,
    });
    this.#idleMilliseconds = options.idleMilliseconds;
  }

  /** Closes idle connections now and busy ones after their request. */
  drain(): void {
    this.#isDraining = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Called by Node when a request has ended and its socket may be reused. */
  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isDraining || socket.destroyed) return false;
    const destroy = () => socket.destroy();
    IDLE_HANDLERS.set(socket, destroy);
    socket.on("data", destroy);
    socket.on("end", destroy);
    super.keepSocketAlive(socket);
    socket.setTimeout(this.#idleMilliseconds, destroy);
    return true;
  }

  /** Called by Node when an idle socket gets its next request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    const destroy = IDLE_HANDLERS.get(socket);
    if (destroy !== undefined) {
      socket.off("data", destroy);
      socket.off("end", destroy);
      socket.off("timeout", destroy);
    }
    socket.setTimeout(0);
  }
}
