/**
 * Writes the answer of an exchange to the caller.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { endAfterRequest } from "@marigoldford/http_answers/end_after_request";
import { copyEndToEndHeaders } from "./raw_headers.ts";
import type { BufferedAnswer, StreamedAnswer } from "./server_attempt.ts";
import type { ServerRun } from "./server_statements.ts";

export type AnswerWriterOptions = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the connection stays open after the answer. */
  readonly mayKeepConnection: (response: ServerResponse) => boolean;
  /** Raw headers that are added to the answers of a server. */
  readonly addedHeaders: (server: ServerRun) => readonly string[];
};

export class AnswerWriter {
  readonly #options: AnswerWriterOptions;

  constructor(options: AnswerWriterOptions) {
    this.#options = options;
  }

  get hasSentHead(): boolean {
    return this.#options.response.headersSent;
  }

  /** Forwards a buffered answer of a backend server. */
  writeBuffered({ head, body }: BufferedAnswer, server: ServerRun): void {
    const raw = copyEndToEndHeaders(
      head.rawHeaders,
      new Set(["content-length"]),
    );
    raw.push(...this.#options.addedHeaders(server));
    const status = statusOf(head);
    const hasBody = this.#options.request.method !== "HEAD" &&
      status !== 204 && status !== 304;
    if (hasBody) {
      raw.push("Content-Length", String(body.byteLength));
    } else if (head.headers["content-length"] !== undefined) {
      raw.push("Content-Length", head.headers["content-length"]);
    }
    this.#writeHead(status, head.statusMessage, raw);
    endAfterRequest(this.#options.response, hasBody ? body : undefined);
  }

  /**
   * Whether the caller can tell that a streamed answer breaks off. To HTTP/1.0
   * callers an answer without a length ends with its connection.
   */
  canStream({ head }: StreamedAnswer): boolean {
    return this.#options.request.httpVersion !== "1.0" ||
      head.headers["content-length"] !== undefined;
  }

  /**
   * Forwards an answer while it arrives, as fast as the caller reads it.
   * `onEnd` is called with its size once all of it has arrived; the answer must
   * then be ended with `end` or `abort`.
   */
  writeStreamed(
    { head, chunks }: StreamedAnswer,
    server: ServerRun,
    onEnd: (bytes: number) => void,
  ): void {
    const { response, addedHeaders } = this.#options;
    this.#writeHead(statusOf(head), head.statusMessage, [
      ...copyEndToEndHeaders(head.rawHeaders, new Set()),
      ...addedHeaders(server),
    ]);
    const buffered = Buffer.concat(chunks);
    response.write(buffered);
    let bytes = buffered.byteLength;
    head.on("data", (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (response.write(chunk)) return;
      head.pause();
      response.once("drain", () => head.resume());
    });
    head.on("end", () => onEnd(bytes));
    head.resume();
  }

  /** Writes an answer that the entry generates itself. */
  writeLocalAnswer(status: number, headers: string[], text: string): void {
    const body = Buffer.from(`${text}\n`);
    this.#writeHead(status, undefined, [
      ...headers,
      "Content-Type",
      "text/plain",
      "Content-Length",
      String(body.byteLength),
    ]);
    endAfterRequest(this.#options.response, body);
  }

  /** Ends a complete streamed answer. */
  end(): void {
    endAfterRequest(this.#options.response);
  }

  /**
   * Destroys the connection, so that a partial answer does not look complete.
   */
  abort(): void {
    this.#options.response.destroy();
  }

  #writeHead(status: number, message: string | undefined, raw: string[]): void {
    const { response } = this.#options;
    if (!this.#options.mayKeepConnection(response)) {
      response.shouldKeepAlive = false;
      raw.push("Connection", "close");
    }
    response.writeHead(status, message, raw as never);
  }
}

export function statusOf(head: IncomingMessage): number {
  return head.statusCode ?? 502;
}
