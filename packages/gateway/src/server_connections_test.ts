/**
 * Tests that a request runs on the connection of the probe before it, and that
 * its answer is complete there.
 */
import { once } from "node:events";
import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, beforeEach, expect, it } from "vitest";
import { IdleLimit } from "@marigoldford/kernel/idle_limit";
import { ProbeConnection } from "./probe_connection.ts";
import { ServerConnections } from "./server_connections.ts";

const clock = () => performance.now();

let server: Server;
let connectionCount: number;
let probe: ProbeConnection;
let connections: ServerConnections;

beforeEach(async () => {
  connectionCount = 0;
  server = createServer((_request, response) => void response.end("ok"));
  server.on("connection", () => connectionCount += 1);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  probe = new ProbeConnection(`127.0.0.1:${port}`, clock);
  connections = new ServerConnections({
    clock,
    maximumSockets: 4,
    idleMilliseconds: 1_000,
    idleLimit: new IdleLimit({ clock, maximumMilliseconds: 1_000 }),
    takeConnection: () => probe.takeSocket(),
  });
});

afterEach(() => {
  probe.close();
  connections.destroy();
  server.close();
});

async function send(): Promise<string> {
  const { port } = server.address() as AddressInfo;
  const call = request({ host: "127.0.0.1", port, agent: connections });
  call.end();
  const [answer] = await once(call, "response");
  return await text(answer);
}

it("a probe takes an idle connection, and the request after it takes it back", async () => {
  for (let count = 0; count < 5; count++) {
    const idle = connections.takeIdle();
    if (idle !== undefined) probe.adopt(idle);
    expect((await probe.get("/health"))?.status).toBe(200);
    expect(connections.hasIdle).toBe(false);
    expect(await send()).toBe("ok");
  }
  expect(connectionCount).toBe(1);
  const kept = connections.takeIdle()!;
  for (const event of ["error", "close"]) {
    expect(kept.listenerCount(event)).toBeLessThan(5);
  }
  kept.destroy();
});

it("a request takes over the connection of the probe before it", async () => {
  for (let count = 0; count < 3; count++) {
    expect((await probe.get("/health"))?.status).toBe(200);
    expect(await send()).toBe("ok");
  }
  // The first request left its connection to the others.
  expect(connectionCount).toBe(2);
});

it("a request without a probe opens a connection", async () => {
  expect(await send()).toBe("ok");
  expect(connectionCount).toBe(1);
});
