/**
 * Connections to one run of a backend server.
 *
 * A connection on which bytes arrive while no request waits is destroyed: the
 * bytes belong to no request. A connection is kept idle for less time than the
 * server keeps it, so that a request does not cross its close.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

export type ServerConnectionsOptions = {
  readonly maximumSockets: number;
  /** Idle connections are closed after this. */
  readonly idleMilliseconds: number;
};

type IdleHandler = () => void;

const IDLE_HANDLERS = new WeakMap<Socket, IdleHandler>();

const FAILED_SOCKETS = new WeakSet<Socket>();

/** An empty line before a request, which servers pass over. */
const EMPTY_LINE = "\r\n";

/** Remembers whether a connection ended by an error, such as a reset. */
export function trackSocketErrors(socket: Socket): void {
  socket.prependListener("error", () => FAILED_SOCKETS.add(socket));
}

/**
 * Finds out whether a connection that has ended was closed or reset. A reset
 * that arrives together with the last bytes is reported as a plain end by
 * Node's event loop; only a write then fails. Call it when the end is
 * reported, before Node closes the connection.
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

/** Whether a connection is known to have ended by an error. */
export function hasSocketFailed(socket: Socket): boolean {
  return FAILED_SOCKETS.has(socket);
}

export class ServerConnections extends Agent {
  readonly #idleMilliseconds: number;
  #isRetired = false;

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
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Called by Node when a request has ended and its socket may be kept. */
  override keepSocketAlive(socket: Socket): boolean {
    if (this.#isRetired || socket.destroyed) return false;
    const destroy = () => socket.destroy();
    IDLE_HANDLERS.set(socket, destroy);
    socket.on("data", destroy);
    socket.on("end", destroy);
    super.keepSocketAlive(socket);
    socket.setTimeout(this.#idleMilliseconds, destroy);
    return true;
  }

  /** Called by Node when a kept socket gets its next request. */
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
