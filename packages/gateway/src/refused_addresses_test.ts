/**
 * Tests that an address which Node refuses at once is a failed attempt to
 * connect, and throws nowhere.
 */
import { once } from "node:events";
import { request } from "node:http";
import { describe, expect, it, vi } from "vitest";
import { IdleLimit } from "@marigoldford/kernel/idle_limit";
import { MeshNode } from "@marigoldford/mesh/mesh_node";
import { DatagramSocket } from "./datagram_socket.ts";
import { FrameConnections } from "./frame_connections.ts";
import { ProbeConnection } from "./probe_connection.ts";
import { ServerConnections } from "./server_connections.ts";

const clock = () => performance.now();

describe.each(["127.0.0.1:99999", "127.0.0.1:NaN", "127.0.0.1"])(
  "the address %s",
  (address) => {
    it("fails a probe", async () => {
      const probe = new ProbeConnection(address, clock);
      expect(await probe.get("/health")).toBeUndefined();
      expect(await probe.get("/health")).toBeUndefined();
      expect(probe.isOpen).toBe(false);
    });

    it("fails messages to a peer", async () => {
      const onSendFailure = vi.fn();
      const socket = new DatagramSocket({
        address: "127.0.0.1:0",
        onDatagram: () => {},
        onUnreadable: () => {},
        onSendFailure,
      });
      await socket.open();
      const news = { revision: 1, ageMilliseconds: 0 };
      socket.send([address], { kind: "news", from: "a", news });
      await vi.waitFor(() => expect(onSendFailure).toBeCalledWith(address));
      socket.close();
      const frames = new FrameConnections({
        listenAddress: "127.0.0.1:0",
        idleMilliseconds: 1_000,
        onFrame: () => {},
        onRefused: () => {},
      });
      await frames.open();
      frames.send([address], { kind: "reading-request" });
      frames.send([address], { kind: "reading-request" });
      frames.close();
    });

    it("fails a message between daemons", async () => {
      const node = new MeshNode({
        incarnation: "a",
        listenHost: "127.0.0.1",
        listenPort: 0,
        connectTimeoutMilliseconds: 100,
        idleTimeoutMilliseconds: 1_000,
        onMessage: () => {},
      });
      node.send(address, { kind: "who-is", incarnations: [] });
      const reply = await node.request(address, {
        content: { kind: "sync-request", buckets: [] },
        timeoutMilliseconds: 100,
      });
      expect(reply).toBeUndefined();
    });
  },
);

it("a port out of range fails each request before it is sent", async () => {
  const connections = new ServerConnections({
    clock,
    maximumSockets: 4,
    idleMilliseconds: 1_000,
    idleLimit: new IdleLimit({ clock, maximumMilliseconds: 1_000 }),
    takeConnection: () => undefined,
  });
  for (let count = 0; count < 6; count++) {
    const port = 99_999;
    const call = request({ host: "127.0.0.1", port, agent: connections });
    const onSocket = vi.fn();
    call.on("socket", onSocket);
    call.end();
    await once(call, "error");
    expect(onSocket).not.toHaveBeenCalled();
  }
  connections.destroy();
});
