/**
 * Opens TCP connections whose failures all arrive as events.
 */
import { connect, Socket, type TcpNetConnectOpts } from "node:net";

/**
 * Like `connect` of `node:net`, which throws if it refuses an address at once;
 * here the socket then fails like one that nobody accepts.
 */
export function openConnection(options: TcpNetConnectOpts): Socket {
  try {
    return connect(options);
  } catch (error) {
    return new Socket().destroy(error as Error);
  }
}
