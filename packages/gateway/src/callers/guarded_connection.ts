/**
 * What a guard knows of one connection of a caller, from its accept to its
 * close.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerDebt } from "@marigoldford/kernel/caller_debt";
import type { ConnectionSlots } from "@marigoldford/kernel/connection_slots";

/** What Node's server keeps at a connection, beside its documented parts. */
type ParsingSocket = Socket & {
  readonly parser?: {
    onIncoming: unknown;
    /** Names and values of a head that has not ended. */
    readonly _headers?: readonly string[];
  } | null;
};

export class GuardedConnection {
  readonly socket: Socket;
  readonly slots: ConnectionSlots<Socket>;
  /** Responses that are not closed, in the order of their requests. */
  readonly responses = new Set<ServerResponse>();
  readonly debt = new CallerDebt();
  /** Whether no further request is answered, and the last answer closes it. */
  isEnding = false;
  /** When the last request was read; see `HeadPacing`. */
  lastLoopTurn = -1;
  #lastRequest: IncomingMessage | undefined;

  constructor(socket: Socket, slots: ConnectionSlots<Socket>) {
    this.socket = socket;
    this.slots = slots;
  }

  addRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#lastRequest = request;
    this.responses.add(response);
    this.slots.markBusy(this.socket);
  }

  /** Whether the body of the last request is missing; none can follow it. */
  get isBodyMissing(): boolean {
    return this.#lastRequest !== undefined && !this.#lastRequest.complete;
  }

  /** Bytes of answers that wait for the caller to read them. */
  get unreadBytes(): number {
    let bytes = 0;
    for (const { writableLength } of this.responses) bytes += writableLength;
    return bytes;
  }

  /** Names and values that have been read of a head that has not ended. */
  get incompleteHeadTexts(): number {
    return (this.socket as ParsingSocket).parser?._headers?.length ?? 0;
  }

  updateDebt(unreadBytes: number, now: number): void {
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    // The entry may pause a body that it serves, but an answered one is only
    // discarded.
    const isServed = this.responses.size > 0;
    const owesBody = this.isBodyMissing &&
      !(isServed && this.socket.isPaused());
    this.debt.update(
      owesBody || unreadBytes > 0,
      bytesRead + bytesWritten - writableLength,
      now,
    );
  }

  /** A request has been read and answered. */
  endRequest(request: IncomingMessage): void {
    if (this.#lastRequest === request) this.#lastRequest = undefined;
    if (this.responses.size > 0 || this.isBodyMissing) return;
    this.slots.markIdle(this.socket);
  }

  /**
   * Lets no further request be read, also while Node reads them from a received
   * block.
   */
  stopReading(): void {
    const { parser } = this.socket as ParsingSocket;
    // Node stops reading a block at a request that switches the protocol.
    if (parser) parser.onIncoming = () => 2;
  }
}
