/**
 * Tests of the line on which a backend server is asked for its health.
 */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { ProbeConnection } from "./probe_connection.ts";

const GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLoad: 1,0,4\r\n\r\n";

let server: Server | undefined;
let line: ProbeConnection | undefined;
const sockets: Socket[] = [];

/** Answers each question with the next of `answers`, in the given parts. */
async function listen(
  ...answers: readonly (readonly string[] | "reset" | "silence")[]
): Promise<
  { line: ProbeConnection; connections: () => number; asked: () => number }
> {
  let asked = 0;
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", async () => {
      const answer = answers[asked++];
      if (answer === "silence") return;
      if (answer === "reset") return void socket.resetAndDestroy();
      for (const part of answer ?? []) {
        await new Promise((resolve) => socket.write(part, resolve));
      }
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  line = new ProbeConnection(`127.0.0.1:${port}`);
  return { line, connections: () => sockets.length, asked: () => asked };
}

afterEach(() => {
  line?.close();
  server?.close();
  for (const socket of sockets.splice(0)) socket.destroy();
});

describe("a health line", () => {
  it("uses its connection again after a whole answer", async () => {
    const { line, connections } = await listen(
      ["HTTP/1.1 503 Busy\r\nContent-", "Length: 2\r\n\r", "\nok"],
      [GOOD + "ok"],
    );
    expect((await line.get("/health"))?.status).toBe(503);
    const answer = await line.get("/health");
    expect(answer?.headers["load"]).toBe("1,0,4");
    expect(connections()).toBe(1);
  });

  it("opens another one where the end of the answer is not known", async () => {
    const { line, connections } = await listen(
      ["HTTP/1.1 200 OK\r\n\r\nwho knows"],
      [GOOD],
      [GOOD + "ok"],
    );
    expect((await line.get("/health"))?.status).toBe(200);
    expect((await line.get("/health"))?.status).toBe(200);
    expect((await line.get("/health"))?.status).toBe(200);
    expect(connections()).toBe(3);
  });

  it("does not take bytes beyond an answer for the next one", async () => {
    const { line, connections } = await listen(
      [GOOD + "ok" + "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"],
      [GOOD + "ok"],
    );
    expect((await line.get("/health"))?.status).toBe(200);
    expect((await line.get("/health"))?.status).toBe(200);
    expect(connections()).toBe(2);
  });

  it("tells of a reset, of garbage and of a refused connection", async () => {
    const { line } = await listen(
      "reset",
      ["SSH-2.0-x\r\n\r\n"],
      ["x".repeat(9_000)],
    );
    expect(await line.get("/health")).toBeUndefined();
    expect(await line.get("/health")).toBeUndefined();
    expect(await line.get("/health")).toBeUndefined();
    server?.close();
    for (const socket of sockets.splice(0)) socket.destroy();
    expect(await line.get("/health")).toBeUndefined();
  });

  it("gives up a question when it is closed", async () => {
    const { line, asked } = await listen("silence", [GOOD]);
    const question = line.get("/health");
    await vi.waitFor(() => expect(asked()).toBe(1));
    line.close();
    expect(await question).toBeUndefined();
    expect((await line.get("/health"))?.status).toBe(200);
  });
});
