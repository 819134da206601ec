/**
 * Connection pool for one run of a backend server.
 *
 * A connection on which bytes arrive while no request is pending is destroyed:
 * the bytes belong to no request. Idle connections are closed before the server
 * closes or drops them, so that no request is sent on a connection that is being
 * closed or no longer exists.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { IdleLimit } from "@marigoldford/kernel/idle_limit";
import type { Clock } from "@marigoldford/kernel/types";

export type ServerConnectionsOptions = {
  readonly clock: Clock;
  readonly maximumSockets: number;
  /** Idle connections are closed after this time at the latest. */
  readonly idleMilliseconds: number;
  /** Learned limit, which is shared by the servers of a service. */
  readonly idleLimit: IdleLimit;
  /** An open connection to the server that nothing else uses, if any. */
  readonly takeConnection: () => Socket | undefined;
  /** Bytes of a request and its answer, when both have ended. */
  readonly onTransferred?: (bytes: number) => void;
};

/** Connections without a request, by host. */
type FreeSockets = Record<string, Socket[] | undefined>;

type IdlePeriod = {
  readonly destroy: () => void;
  readonly sinceMilliseconds: number;
};

const IDLE_PERIODS = new WeakMap<Socket, IdlePeriod>();
/** How long the connection of the current request was idle before it. */
const IDLE_BEFORE_REQUEST = new WeakMap<Socket, number>();

/** Bytes of a connection that belong to earlier requests or probes. */
const COUNTED_BYTES = new WeakMap<Socket, number>();

function bytesOf({ bytesRead, bytesWritten }: Socket): number {
  return bytesRead + bytesWritten;
}

const FAILED_SOCKETS = new WeakSet<Socket>();
/** Connections on which the server has already answered something. */
const USED_SOCKETS = new WeakSet<Socket>();

/** Servers ignore an empty line before a request (RFC 9112, section 2.2). */
const EMPTY_LINE = "\r\n";

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

/**
 * Whether the server has answered an earlier request or probe on a connection.
 * Only then can it repeat an answer there.
 */
export function hasEarlierAnswer(socket: Socket): boolean {
  return USED_SOCKETS.has(socket);
}

/** Whether a connection is known to have failed. */
export function hasSocketFailed(socket: Socket): boolean {
  return FAILED_SOCKETS.has(socket);
}

/** Stops closing a connection for what happens while it is idle. */
function stopIdlePeriod(socket: Socket): void {
  const period = IDLE_PERIODS.get(socket);
  if (period !== undefined) {
    for (const event of ["data", "end", "timeout"]) {
      socket.off(event, period.destroy);
    }
  }
  socket.setTimeout(0);
}

export class ServerConnections extends Agent {
  readonly #options: ServerConnectionsOptions;
  #isDraining = false;

  constructor(options: ServerConnectionsOptions) {
    super({
      keepAlive: true,
      scheduling: "lifo",
      maxSockets: options.maximumSockets,
      maxFreeSockets: options.maximumSockets,
      // Node shortens it to what a server announces in its Keep-Alive header.
      timeout: options.idleMilliseconds,
    });
    this.#options = options;
  }

  /** Called by Node when a request needs a connection and none is idle. */
  override createConnection(
    ...parameters: Parameters<Agent["createConnection"]>
  ): Socket | undefined {
    const taken = this.#options.takeConnection();
    if (taken !== undefined) USED_SOCKETS.add(taken);
    const socket = taken ?? this.#openConnection(parameters);
    if (socket === undefined) return undefined;
    IDLE_BEFORE_REQUEST.delete(socket);
    const isKnown = COUNTED_BYTES.has(socket);
    COUNTED_BYTES.set(socket, bytesOf(socket));
    // A connection comes back here from a probe, with its listeners.
    if (isKnown) return socket;
    socket.once("close", () => this.#countBytes(socket));
    // Records whether the connection ends by an error, such as a reset.
    socket.prependListener("error", () => FAILED_SOCKETS.add(socket));
    return socket;
  }

  /** Reports an address that Node refuses at once as a failed connection. */
  #openConnection(
    [options, onCreated]: Parameters<Agent["createConnection"]>,
  ): Socket | undefined {
    try {
      return super.createConnection(options, onCreated) as Socket;
    } catch (error) {
      // Node uses no socket that comes with an error.
      onCreated?.(error as Error, undefined as unknown as Socket);
      return undefined;
    }
  }

  /** Whether a request would find an open connection. */
  get hasIdle(): boolean {
    for (const _host in this.freeSockets) return true;
    return false;
  }

  /**
   * Takes the idle connection that was used last out of the pool, for a probe;
   * undefined if there is none.
   */
  takeIdle(): Socket | undefined {
    for (const [name, sockets = []] of Object.entries(this.freeSockets)) {
      const socket = sockets.pop();
      if (sockets.length === 0) delete (this.freeSockets as FreeSockets)[name];
      if (socket === undefined || !socket.writable) continue;
      stopIdlePeriod(socket);
      // Removes the listener that Node adds to idle connections.
      super.reuseSocket(socket, {} as ClientRequest);
      // Node's agent then forgets the connection.
      socket.emit("agentRemove");
      return socket;
    }
    return undefined;
  }

  /**
   * Records that a connection broke during a request, before any byte of an
   * answer.
   */
  recordBreak(socket: Socket): void {
    const idleMilliseconds = IDLE_BEFORE_REQUEST.get(socket);
    if (idleMilliseconds === undefined) return;
    this.#options.idleLimit.recordDropped(idleMilliseconds);
  }

  /** Closes connections that have been idle for longer than the limit. */
  closeExpired(): void {
    if (!this.hasIdle) return;
    const since = this.#options.clock() - this.#options.idleLimit.milliseconds;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        const period = IDLE_PERIODS.get(socket);
        if (period !== undefined && period.sinceMilliseconds < since) {
          period.destroy();
        }
      }
    }
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
    USED_SOCKETS.add(socket);
    this.#countBytes(socket);
    if (this.#isDraining || socket.destroyed) return false;
    // Node returns false if the server closes at once; its types omit that.
    if (super.keepSocketAlive(socket) as unknown === false) return false;
    const destroy = () => socket.destroy();
    IDLE_PERIODS.set(socket, {
      destroy,
      sinceMilliseconds: this.#options.clock(),
    });
    socket.on("data", destroy);
    socket.on("end", destroy);
    const announced = socket.timeout || this.#options.idleMilliseconds;
    const limit = this.#options.idleLimit.milliseconds;
    socket.setTimeout(Math.min(announced, limit), destroy);
    return true;
  }

  #countBytes(socket: Socket): void {
    const bytes = bytesOf(socket);
    const counted = COUNTED_BYTES.get(socket) ?? 0;
    COUNTED_BYTES.set(socket, bytes);
    if (bytes > counted) this.#options.onTransferred?.(bytes - counted);
  }

  /** Called by Node when an idle socket gets its next request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    const period = IDLE_PERIODS.get(socket);
    if (period !== undefined) {
      const idleMilliseconds = this.#options.clock() - period.sinceMilliseconds;
      IDLE_BEFORE_REQUEST.set(socket, idleMilliseconds);
    }
    stopIdlePeriod(socket);
  }
}
