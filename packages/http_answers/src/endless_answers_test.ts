/**
 * Tests the bounds against a server that sends without end.
 */
import { once } from "node:events";
import { get, type IncomingMessage } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { discardAnswer } from "./discard_answer.ts";
import { readAnswer } from "./read_answer.ts";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n";
const BLOCK = "x".repeat(16_384);
const LIMIT_BYTES = 100_000;

let server: Server;
let hasConnectionClosed: Promise<unknown>;
/** Sent once after the head; then the server is silent. */
let onlyBody: string | undefined;

beforeEach(async () => {
  onlyBody = undefined;
  hasConnectionClosed = new Promise((resolve) => {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("close", resolve);
      socket.once("data", () => {
        socket.write(HEAD + (onlyBody ?? ""));
        if (onlyBody !== undefined) return;
        const send = () => {
          while (!socket.destroyed && socket.write(BLOCK));
        };
        socket.on("drain", send);
        send();
      });
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
});

afterEach(() => void server.close());

async function request(): Promise<IncomingMessage> {
  const { port } = server.address() as AddressInfo;
  const call = get({ host: "127.0.0.1", port, agent: false });
  call.on("error", () => {});
  const [answer] = await once(call, "response");
  return answer;
}

it("a discarded answer without end has its connection closed", async () => {
  discardAnswer(await request());
  await hasConnectionClosed;
});

it("a discarded answer that stalls has its connection closed", async () => {
  onlyBody = "x";
  discardAnswer(await request());
  await hasConnectionClosed;
});

it("an answer beyond the limit fails, and its connection is closed", async () => {
  const body = await readAnswer(await request(), LIMIT_BYTES);
  expect(body._unsafeUnwrapErr()).toEqual({
    kind: "too-large",
    detail: "Answer exceeds 100000 bytes; its connection was closed",
  });
  await hasConnectionClosed;
});

it("an answer that breaks off is truncated", async () => {
  onlyBody = "part";
  const answer = await request();
  const body = readAnswer(answer, LIMIT_BYTES);
  answer.destroy(new Error("No answer in time"));
  expect((await body)._unsafeUnwrapErr().kind).toBe("truncated");
});
