/**
 * A kept connection on which one backend server is asked for its health.
 *
 * Questions outnumber requests, and each is a bare GET with a small answer:
 * a line of its own takes a fraction of the processor time that Node's HTTP
 * client does. A connection is used again only after an answer whose length
 * was given and that ended there.
 */
import type { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";
import { type AnswerHead, parseAnswerHead } from "./answer_head.ts";

/** `undefined`: the connection broke or carried something else. */
export type ProbeAnswer = AnswerHead | undefined;

type Question = (answer: ProbeAnswer) => void;

const HEAD_END = "\r\n\r\n";
/** Answers to health checks have a few hundred bytes of headers. */
const MOST_HEAD_BYTES = 8 * 1024;

export class ProbeConnection {
  readonly address: Address;
  #socket: Socket | undefined;
  #question: Question | undefined;
  #received = "";
  /** Bytes of the last answer's body that have not arrived yet. */
  #bodyBytesLeft = 0;

  constructor(address: Address) {
    this.address = address;
  }

  /** Asks; a question that is still open is given up. */
  get(path: string): Promise<ProbeAnswer> {
    if (this.#question !== undefined || this.#bodyBytesLeft > 0) this.close();
    return new Promise((resolve) => {
      this.#question = resolve;
      this.#socket ??= this.#open();
      this.#socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${this.address}\r\n\r\n`,
      );
    });
  }

  close(): void {
    this.#socket?.destroy();
    this.#drop();
  }

  #open(): Socket {
    const { host, port } = splitAddress(this.address);
    const socket = connect({ host, port, noDelay: true });
    socket.unref();
    socket.on("data", (chunk) => {
      if (socket === this.#socket) this.#take(chunk);
    });
    // Every error is followed by the close.
    socket.on("error", () => {});
    for (const event of ["end", "close"]) {
      socket.on(event, () => {
        if (socket === this.#socket) this.close();
      });
    }
    return socket;
  }

  #drop(): void {
    this.#socket = undefined;
    this.#received = "";
    this.#bodyBytesLeft = 0;
    this.#answer(undefined);
  }

  #answer(answer: ProbeAnswer): void {
    const question = this.#question;
    this.#question = undefined;
    question?.(answer);
  }

  #take(chunk: Buffer): void {
    if (this.#question === undefined) return this.#skip(chunk.byteLength);
    this.#received += chunk.toString("latin1");
    const end = this.#received.indexOf(HEAD_END);
    if (end < 0) {
      if (this.#received.length > MOST_HEAD_BYTES) this.close();
      return;
    }
    const head = parseAnswerHead(this.#received.slice(0, end));
    const body = this.#received.length - end - HEAD_END.length;
    this.#received = "";
    if (head === undefined) return this.close();
    this.#answer(head);
    this.#keep(head, body);
  }

  /** Keeps the connection if it is known where the answer ends. */
  #keep({ headers }: AnswerHead, bodyBytes: number): void {
    const length = Number(headers["content-length"] ?? NaN);
    const isKept = Number.isInteger(length) && length >= bodyBytes &&
      headers["transfer-encoding"] === undefined &&
      headers["connection"] !== "close";
    if (isKept) this.#bodyBytesLeft = length - bodyBytes;
    else this.close();
  }

  /** Passes over the body; bytes beyond it belong to no question. */
  #skip(bytes: number): void {
    this.#bodyBytesLeft -= bytes;
    if (this.#bodyBytesLeft < 0) this.close();
  }
}
