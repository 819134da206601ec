/**
 * A keep-alive connection for probes of one backend server.
 *
 * Probes outnumber requests, and each is a plain GET with a small answer: this
 * client takes a fraction of the processor time of Node's HTTP client. A
 * connection is reused only after an answer that declared its length and ended
 * there. A request that follows a probe may take over its connection, and a
 * probe may use an idle connection of requests.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address, Clock } from "@marigoldford/kernel/types";
import { openConnection } from "@marigoldford/mesh/open_connection";
import { type AnswerHead, parseAnswerHead } from "./answer_head.ts";

/** `undefined`: the connection broke or the answer was malformed. */
export type ProbeAnswer = AnswerHead | undefined;

/** Is told of bytes that were sent or received. */
export type OnBytes = (bytes: number) => void;

type ProbeCallback = (answer: ProbeAnswer) => void;

/** A connection that answered this recently was not dropped by the server. */
const MAXIMUM_TAKE_OVER_AGE_MILLISECONDS = 250;

const HEAD_END = "\r\n\r\n";
/** Answers to health checks have a few hundred bytes of headers. */
const MAXIMUM_HEAD_BYTES = 8 * 1024;
/** Longer bodies are not worth reading to keep the connection. */
const MAXIMUM_BODY_BYTES = 8 * 1024;

export class ProbeConnection {
  readonly address: Address;
  #socket: Socket | undefined;
  /** Listeners of the current socket, by event. */
  #listeners: ReadonlyMap<string, (chunk: Buffer) => void> = new Map();
  #pending: ProbeCallback | undefined;
  #received = "";
  /** Bytes of the last answer's body that have not arrived yet. */
  #bodyBytesLeft = 0;
  #answeredAtMilliseconds = -Infinity;
  readonly #clock: Clock;
  readonly #onBytes: OnBytes;

  constructor(address: Address, clock: Clock, onBytes: OnBytes = () => {}) {
    this.address = address;
    this.#clock = clock;
    this.#onBytes = onBytes;
  }

  get isOpen(): boolean {
    return this.#socket !== undefined;
  }

  /** Sends a probe; one that is still pending is abandoned. */
  get(path: string): Promise<ProbeAnswer> {
    if (this.#pending !== undefined || this.#bodyBytesLeft > 0) this.close();
    return new Promise((resolve) => {
      this.#pending = resolve;
      this.#socket ??= this.#open();
      const request = `GET ${path} HTTP/1.1\r\nHost: ${this.address}\r\n\r\n`;
      this.#socket.write(request);
      this.#onBytes(request.length);
    });
  }

  /** Sends the next probe on an open connection. */
  adopt(socket: Socket): void {
    this.close();
    this.#socket = this.#attach(socket);
  }

  /** Hands over the socket of a probe that was answered just now, if any. */
  takeSocket(): Socket | undefined {
    const socket = this.#socket;
    const age = this.#clock() - this.#answeredAtMilliseconds;
    const isUsable = socket !== undefined && socket.writable &&
      this.#pending === undefined && this.#bodyBytesLeft === 0 &&
      age <= MAXIMUM_TAKE_OVER_AGE_MILLISECONDS;
    if (!isUsable) return undefined;
    this.#reset();
    for (const event of ["data", "error", "end", "close"]) {
      const listener = this.#listeners.get(event);
      if (listener !== undefined) socket.off(event, listener);
    }
    return socket.ref();
  }

  close(): void {
    this.#socket?.destroy();
    this.#reset();
  }

  #open(): Socket {
    const { host, port } = splitAddress(this.address);
    return this.#attach(openConnection({ host, port, noDelay: true }));
  }

  #attach(socket: Socket): Socket {
    socket.unref();
    const onEnd = () => {
      if (socket === this.#socket) this.close();
    };
    this.#listeners = new Map<string, (chunk: Buffer) => void>([
      ["data", (chunk) => {
        if (socket === this.#socket) this.#onData(chunk);
      }],
      // Every error is followed by a close event.
      ["error", () => {}],
      ["end", onEnd],
      ["close", onEnd],
    ]);
    for (const [event, listener] of this.#listeners) socket.on(event, listener);
    return socket;
  }

  #reset(): void {
    this.#socket = undefined;
    this.#received = "";
    this.#bodyBytesLeft = 0;
    this.#resolveProbe(undefined);
  }

  #resolveProbe(answer: ProbeAnswer): void {
    const pending = this.#pending;
    this.#pending = undefined;
    pending?.(answer);
  }

  #onData(chunk: Buffer): void {
    this.#onBytes(chunk.byteLength);
    if (this.#pending === undefined) return this.#skipBody(chunk.byteLength);
    this.#received += chunk.toString("latin1");
    const end = this.#received.indexOf(HEAD_END);
    if (end < 0) {
      if (this.#received.length > MAXIMUM_HEAD_BYTES) this.close();
      return;
    }
    const head = parseAnswerHead(this.#received.slice(0, end));
    const body = this.#received.length - end - HEAD_END.length;
    this.#received = "";
    if (head === undefined) return this.close();
    this.#answeredAtMilliseconds = this.#clock();
    this.#resolveProbe(head);
    this.#keepOrClose(head, body);
  }

  /** Keeps the connection open if the end of the answer is known. */
  #keepOrClose({ headers }: AnswerHead, bodyBytes: number): void {
    const length = Number(headers["content-length"] ?? NaN);
    const isKept = Number.isInteger(length) && length >= bodyBytes &&
      length <= MAXIMUM_BODY_BYTES &&
      headers["transfer-encoding"] === undefined &&
      headers["connection"] !== "close";
    if (isKept) this.#bodyBytesLeft = length - bodyBytes;
    else this.close();
  }

  /** Skips the body; bytes beyond it belong to no probe. */
  #skipBody(bytes: number): void {
    this.#bodyBytesLeft -= bytes;
    if (this.#bodyBytesLeft < 0) this.close();
  }
}
