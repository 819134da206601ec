/**
 * Ends connections on which the next request cannot be read: its head stalls, is
 * malformed or too large, or asks for a tunnel.
 *
 * By default Node answers on the connection at once, also when requests before
 * it are still running: their callers would take that for their answer. Here,
 * those requests get their own answers first, and the connection ends with the
 * last one.
 */
import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import type { GuardedConnection } from "./guarded_connection.ts";

const BAD_REQUEST = "400 Bad Request";
const STATUS_OF_ERRORS: ReadonlyMap<string, string> = new Map([
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Content Too Large"],
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
]);
/** The caller has closed its side in the middle of a head. */
const CALLER_HAS_LEFT = "HPE_INVALID_EOF_STATE";
const TUNNEL_REFUSED = "405 Method Not Allowed";
/** Enough for a caller to read the answer and stop sending. */
const MAXIMUM_LINGER_MILLISECONDS = 2_000;

export function endUnreadableRequests(
  server: Server,
  find: (socket: Duplex) => GuardedConnection | undefined,
): void {
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const { code = "" } = error;
    const isParsingError = code.startsWith("HPE_") ||
      code === "ERR_HTTP_REQUEST_TIMEOUT";
    const connection = find(socket);
    const hasLeft = code === CALLER_HAS_LEFT &&
      connection?.responses.size !== 0;
    const mayEnd = isParsingError && !hasLeft && socket.writable;
    if (!mayEnd || connection === undefined) return void socket.destroy();
    end(connection, STATUS_OF_ERRORS.get(code) ?? BAD_REQUEST);
  });
  server.on("connect", (_request, socket) => {
    const connection = find(socket);
    if (connection === undefined) return void socket.destroy();
    // The parser is gone, and nothing else is read.
    socket.on("error", () => socket.destroy());
    end(connection, TUNNEL_REFUSED);
  });
}

function end(connection: GuardedConnection, status: string): void {
  const { socket, responses } = connection;
  if (connection.isEnding) return;
  connection.isEnding = true;
  connection.stopReading();
  // A caller that has stopped sending has left.
  socket.once("end", () => socket.destroy());
  const running = [...responses];
  const last = running.at(-1);
  if (last === undefined) return answer(connection, status);
  if (!connection.isBodyMissing) {
    if (!last.headersSent) last.shouldKeepAlive = false;
    last.once("close", () => linger(connection));
    return;
  }
  // The body of the last request is what cannot be read.
  const previous = running.at(-2);
  const endLast = () => {
    if (last.headersSent) socket.destroy();
    else answer(connection, status);
  };
  if (previous === undefined) endLast();
  else previous.once("close", endLast);
}

/** Writes to the connection, on which no request waits for its answer. */
function answer(connection: GuardedConnection, status: string): void {
  const { socket } = connection;
  if (!socket.writable) return void socket.destroy();
  socket.write(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  linger(connection);
}

/**
 * Closes the connection when the caller has had time to read: closing it at once
 * would reset it, as bytes of the request are unread.
 */
function linger({ socket }: GuardedConnection): void {
  if (socket.destroyed) return;
  socket.end();
  const timer = setTimeout(
    () => socket.destroy(),
    MAXIMUM_LINGER_MILLISECONDS,
  ).unref();
  socket.once("close", () => clearTimeout(timer));
}
