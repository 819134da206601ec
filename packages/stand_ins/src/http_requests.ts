/**
 * HTTP requests of the demo, the benchmarks and the tests.
 */
import { type Agent, type IncomingHttpHeaders, request } from "node:http";

export type HttpAnswer = {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
};

export type HttpRequest = {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMilliseconds?: number;
  readonly agent?: Agent | false;
};

const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/** Sends a request and reads the whole answer; opens a connection by default. */
export function sendRequest(
  address: string,
  options: HttpRequest,
): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${address}${options.path}`, {
      method: options.method ?? "GET",
      headers: options.headers,
      agent: options.agent ?? false,
    }, (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (chunk: string) => body += chunk);
      response.once("error", reject);
      response.once("close", () => {
        clearTimeout(timer);
        if (!response.complete) {
          reject(new Error(`Answer to ${options.path} truncated`));
        }
        const status = response.statusCode ?? 0;
        resolve({ status, headers: response.headers, body });
      });
    });
    const timeout = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`No answer within ${timeout} ms`));
    }, timeout);
    outgoing.once("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    outgoing.end(options.body);
  });
}

export async function readJson<Value>(
  address: string,
  path: string,
): Promise<Value> {
  const answer = await sendRequest(address, { path });
  return JSON.parse(answer.body) as Value;
}

export async function postJson(
  address: string,
  message: { readonly path: string; readonly value: unknown },
): Promise<void> {
  await sendRequest(address, {
    method: "POST",
    path: message.path,
    body: JSON.stringify(message.value),
  });
}
