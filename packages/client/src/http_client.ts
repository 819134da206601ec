/**
 * The HTTP client with which the client library sends requests to entries.
 */
import type { Buffer } from "node:buffer";
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { readAnswer } from "@marigoldford/http_answers/read_answer";
import { isValidStatus } from "@marigoldford/http_answers/valid_status";
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

export type HttpFailure = {
  readonly kind: "exchange-failed";
  /** False only if no connection was made. */
  readonly mayHaveSentBytes: boolean;
  readonly detail: string;
};

const IDLE_TIMEOUT_MILLISECONDS = 2_000;
/** Answers are held in memory. */
const MAXIMUM_ANSWER_BYTES = 256 * 1024 * 1024;

/** Adds the length of a body, which Node leaves out for GET. */
function withContentLength(httpRequest: HttpRequest): Record<string, string> {
  const { headers, body } = httpRequest;
  if (body === undefined) return { ...headers };
  return { ...headers, "Content-Length": String(body.byteLength) };
}

/** Sends requests to entries over persistent connections. */
export class HttpClient {
  readonly #agent = new Agent({
    keepAlive: true,
    scheduling: "lifo",
    timeout: IDLE_TIMEOUT_MILLISECONDS,
  });

  send(
    address: Address,
    httpRequest: HttpRequest,
  ): Promise<Result<HttpAnswer, HttpFailure>> {
    return new Promise((resolve) => {
      let mayHaveSentBytes = false;
      const clientRequest = request({
        ...splitAddress(address),
        agent: this.#agent,
        method: httpRequest.method,
        path: httpRequest.path,
        headers: withContentLength(httpRequest),
      });
      const timer = setTimeout(
        () => clientRequest.destroy(new Error("No whole answer in time")),
        httpRequest.timeoutMilliseconds,
      );
      function fail(error: Error): void {
        clearTimeout(timer);
        const detail = error.message;
        resolve(err({ kind: "exchange-failed", mayHaveSentBytes, detail }));
      }
      clientRequest.once("socket", (socket) => {
        if (!socket.connecting) mayHaveSentBytes = true;
        else socket.once("connect", () => mayHaveSentBytes = true);
      });
      clientRequest.once("error", fail);
      clientRequest.once("response", async (response) => {
        if (!isValidStatus(response.statusCode)) {
          response.destroy();
          return fail(new Error(`Invalid status ${response.statusCode}`));
        }
        const body = await readAnswer(response, MAXIMUM_ANSWER_BYTES);
        if (body.isErr()) return fail(new Error(body.error.detail));
        clearTimeout(timer);
        resolve(ok({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: body.value,
        }));
      });
      clientRequest.end(httpRequest.body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
