/**
 * Lets connections that cause much work wait for their turn to be read on.
 */
import type { Socket } from "node:net";

export class ReadingTurns {
  readonly #onWait: () => void;
  readonly #waiting = new WeakSet<Socket>();

  constructor(onWait: () => void = () => {}) {
    this.#onWait = onWait;
  }

  /** Returns false if the connection has to wait. */
  mayReadOn(socket: Socket, waitMilliseconds: number): boolean {
    if (this.#waiting.has(socket)) return false;
    if (waitMilliseconds === 0 || socket.destroyed) return true;
    this.#waiting.add(socket);
    this.#onWait();
    // Node resumes a connection whenever a request on it is read or complete.
    const { resume } = socket;
    let isResumeDue = false;
    socket.pause();
    socket.resume = () => {
      isResumeDue = true;
      return socket;
    };
    const timer = setTimeout(() => {
      socket.off("close", cancel);
      this.#waiting.delete(socket);
      socket.resume = resume;
      if (isResumeDue) socket.resume();
    }, waitMilliseconds).unref();
    const cancel = () => clearTimeout(timer);
    socket.once("close", cancel);
    return false;
  }
}
