/**
 * Tests that a probe never gets bytes of another answer, and that its
 * connection is reused only after a complete one.
 */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import { ProbeConnection } from "./probe_connection.ts";

const COMPLETE_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nLoad: 1,0,4\r\n\r\n";

let server: Server | undefined;
let connection: ProbeConnection | undefined;
const sockets: Socket[] = [];

/** Answers each probe with the next of `answers`, in the given parts. */
async function listen(
  ...answers: readonly (readonly string[] | "reset" | "silence")[]
): Promise<
  {
    connection: ProbeConnection;
    connections: () => number;
    probesReceived: () => number;
  }
> {
  let probesReceived = 0;
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", async () => {
      const answer = answers[probesReceived++];
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
  connection = new ProbeConnection(
    `127.0.0.1:${port}`,
    () => performance.now(),
  );
  return {
    connection,
    connections: () => sockets.length,
    probesReceived: () => probesReceived,
  };
}

afterEach(() => {
  connection?.close();
  server?.close();
  for (const socket of sockets.splice(0)) socket.destroy();
});

describe("a probe connection", () => {
  it("is reused after a complete answer", async () => {
    const { connection, connections } = await listen(
      ["HTTP/1.1 503 Busy\r\nContent-", "Length: 2\r\n\r", "\nok"],
      [COMPLETE_HEAD + "ok"],
    );
    expect((await connection.get("/health"))?.status).toBe(503);
    const answer = await connection.get("/health");
    expect(answer?.headers["load"]).toBe("1,0,4");
    expect(connections()).toBe(1);
  });

  it("is opened again if the end of the answer is unknown", async () => {
    const { connection, connections } = await listen(
      ["HTTP/1.1 200 OK\r\n\r\nwho knows"],
      [COMPLETE_HEAD],
      [COMPLETE_HEAD + "ok"],
    );
    expect((await connection.get("/health"))?.status).toBe(200);
    expect((await connection.get("/health"))?.status).toBe(200);
    expect((await connection.get("/health"))?.status).toBe(200);
    expect(connections()).toBe(3);
  });

  it("does not read surplus bytes as the next answer", async () => {
    const { connection, connections } = await listen(
      [COMPLETE_HEAD + "ok" + "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"],
      [COMPLETE_HEAD + "ok"],
    );
    expect((await connection.get("/health"))?.status).toBe(200);
    expect((await connection.get("/health"))?.status).toBe(200);
    expect(connections()).toBe(2);
  });

  it("reports resets, malformed answers and refused connections", async () => {
    const { connection } = await listen(
      "reset",
      ["SSH-2.0-x\r\n\r\n"],
      ["x".repeat(9_000)],
    );
    expect(await connection.get("/health")).toBeUndefined();
    expect(await connection.get("/health")).toBeUndefined();
    expect(await connection.get("/health")).toBeUndefined();
    server?.close();
    for (const socket of sockets.splice(0)) socket.destroy();
    expect(await connection.get("/health")).toBeUndefined();
  });

  it("hands over its socket once, right after an answer", async () => {
    const { connection, connections } = await listen(
      [COMPLETE_HEAD + "ok"],
      [COMPLETE_HEAD + "ok"],
    );
    await connection.get("/health");
    const socket = connection.takeSocket();
    expect(socket?.listenerCount("data")).toBe(0);
    expect(connection.takeSocket()).toBeUndefined();
    expect((await connection.get("/health"))?.status).toBe(200);
    expect(connections()).toBe(2);
    expect(socket?.destroyed).toBe(false);
    socket?.destroy();
  });

  it("does not hand over a socket on which bytes are missing", async () => {
    const { connection } = await listen([COMPLETE_HEAD + "o"]);
    await connection.get("/health");
    expect(connection.takeSocket()).toBeUndefined();
  });

  it("abandons a pending probe when it is closed", async () => {
    const { connection, probesReceived } = await listen("silence", [
      COMPLETE_HEAD,
    ]);
    const probe = connection.get("/health");
    await vi.waitFor(() => expect(probesReceived()).toBe(1));
    connection.close();
    expect(await probe).toBeUndefined();
    expect((await connection.get("/health"))?.status).toBe(200);
  });
});
