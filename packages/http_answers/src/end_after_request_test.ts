/**
 * Tests that a caller that is still sending gets the answer to its request.
 */
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, it } from "vitest";
import { endAfterRequest } from "./end_after_request.ts";

const HEAD = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n";
const BLOCK = "x".repeat(100_000);
const BLOCKS = 20;

let server: Server;
let caller: Socket;
let callerFailure: Error | undefined;

beforeEach(async () => {
  server = createServer((_request, response) => {
    response.setHeader("Connection", "close");
    response.writeHead(413, { "Content-Length": 7 });
    endAfterRequest(response, new TextEncoder().encode("refused"));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  callerFailure = undefined;
  caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
  caller.on("error", (error) => callerFailure = error);
});

afterEach(() => {
  caller.destroy();
  server.closeAllConnections();
  server.close();
});

async function readToEnd(): Promise<string> {
  let text = "";
  caller.on("data", (bytes) => text += bytes);
  caller.resume();
  await new Promise((resolve) => caller.on("close", resolve));
  return text;
}

it("a caller that reads after sending everything gets the answer", async () => {
  caller.pause();
  caller.write(HEAD);
  for (let count = 0; count < BLOCKS; count++) {
    caller.write(BLOCK);
    await sleep(5);
  }
  expect(await readToEnd()).toMatch(/^HTTP\/1.1 413 .*refused$/s);
  expect(callerFailure).toBeUndefined();
});

it("a caller that sends no further byte is disconnected", async () => {
  caller.write(HEAD);
  expect(await readToEnd()).toMatch(/refused$/);
});

it("a caller that sends without end is disconnected", async () => {
  caller.write(HEAD.replace("2000000", "999999999999"));
  const send = () => {
    while (!caller.destroyed && caller.write(BLOCK));
  };
  caller.on("drain", send);
  send();
  expect(await readToEnd()).toMatch(/refused$/);
});
