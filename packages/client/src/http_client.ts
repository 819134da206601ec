/**
 * One HTTP exchange of the caller's library with one entry.
 */
import { Buffer } from "node:buffer";
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";

export type HttpRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly timeoutMilliseconds: number;
};

export type HttpAnswer = {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
};

/** `mayHaveSentBytes` is false only when no connection was made. */
export type HttpFailure = {
  readonly kind: "exchange-failed";
  readonly mayHaveSentBytes: boolean;
  readonly detail: string;
};

const IDLE_MILLISECONDS = 2_000;

/** Names the length of a body: Node leaves it out for GET. */
function framedHeaders(exchange: HttpRequest): Record<string, string> {
  const { headers, body } = exchange;
  if (body === undefined) return { ...headers };
  return { ...headers, "Content-Length": String(body.byteLength) };
}

/** Sends requests to entries over kept connections. */
export class HttpClient {
  readonly #agent = new Agent({
    keepAlive: true,
    scheduling: "lifo",
    timeout: IDLE_MILLISECONDS,
  });

  send(
    address: Address,
    exchange: HttpRequest,
  ): Promise<Result<HttpAnswer, HttpFailure>> {
    return new Promise((resolve) => {
      let mayHaveSentBytes = false;
      const sent = request({
        ...splitAddress(address),
        agent: this.#agent,
        method: exchange.method,
        path: exchange.path,
        headers: framedHeaders(exchange),
      });
      const timer = setTimeout(
        () => sent.destroy(new Error("No whole answer in time")),
        exchange.timeoutMilliseconds,
      );
      function fail(error: Error): void {
        clearTimeout(timer);
        const detail = error.message;
        resolve(err({ kind: "exchange-failed", mayHaveSentBytes, detail }));
      }
      sent.once("socket", (socket) => {
        if (!socket.connecting) mayHaveSentBytes = true;
        else socket.once("connect", () => mayHaveSentBytes = true);
      });
      sent.once("error", fail);
      sent.once("response", (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.once("error", fail);
        response.once("close", () => {
          if (!response.complete) return fail(new Error("Answer cut short"));
          clearTimeout(timer);
          resolve(ok({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }));
        });
      });
      sent.end(exchange.body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
