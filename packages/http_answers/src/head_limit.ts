/**
 * Bounds the bytes that a connection may receive before an answer begins.
 *
 * Node limits the size of one head, but neither the number of interim answers
 * (1xx) before it nor that of empty lines.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** A few interim answers and a head of the size that Node accepts. */
const MAXIMUM_BYTES_BEFORE_ANSWER = 64 * 1024;

/**
 * Calls `onExceeded` if more bytes than the limit arrive. The returned function
 * ends the check; call it when the answer begins or the connection is given up.
 */
export function limitBytesBeforeAnswer(
  socket: Socket,
  onExceeded: (detail: string) => void,
): () => void {
  let received = 0;
  const onData = (chunk: Buffer) => {
    received += chunk.byteLength;
    if (received <= MAXIMUM_BYTES_BEFORE_ANSWER) return;
    socket.off("data", onData);
    onExceeded(`no answer in ${MAXIMUM_BYTES_BEFORE_ANSWER} bytes`);
  };
  socket.on("data", onData);
  return () => socket.off("data", onData);
}
