/**
 * Guards against malformed, oversized or stalled input that disturbs an entry
 * or the calls of other callers. The input arrives on the call port, on the
 * mesh port or from the platform.
 */
import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, test } from "vitest";
import type { Fleet } from "@marigoldford/stand_ins/fleet";
import { setTimeout as sleep } from "node:timers/promises";
import { mintKeyOwnedBy } from "@marigoldford/stand_ins/entry_requests";
import { deploy, sendIdempotentCall, sendProtectedCall } from "./deployment.ts";

/** Sends bytes and reads until the connection closes or the timeout expires. */
function sendRaw(
  address: string,
  options: {
    readonly bytes: Uint8Array | string;
    readonly timeoutMilliseconds: number;
  },
): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let response = "";
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(response);
    };
    const timer = setTimeout(finish, options.timeoutMilliseconds);
    socket.on("data", (chunk) => response += chunk.toString("latin1"));
    socket.on("error", finish);
    socket.on("close", finish);
    socket.write(options.bytes);
  });
}

/** Prefixes a payload with its length, as in messages between entries. */
function frame(payload: Uint8Array): Uint8Array {
  const bytes = new Uint8Array(4 + payload.byteLength);
  new DataView(bytes.buffer).setUint32(0, payload.byteLength);
  bytes.set(payload, 4);
  return bytes;
}

describe("bad input", () => {
  let fleet: Fleet;
  let backgroundCalls: ReturnType<typeof setInterval>;
  const backgroundFailures: string[] = [];

  beforeAll(async () => {
    fleet = await deploy({
      entries: 2,
      backends: 2,
      settings: { calls: { headerTimeoutMilliseconds: 500 } },
    });
    let call = 0;
    backgroundCalls = setInterval(() => {
      call += 1;
      sendIdempotentCall(fleet.entries[0], `/desk/${call}`).then(
        ({ outcome }) => {
          if (outcome !== "answered") backgroundFailures.push(outcome);
        },
        (error: Error) => backgroundFailures.push(error.message),
      );
    }, 50);
  });
  afterAll(() => fleet.stop());

  test("a malformed HTTP request is answered with 400", async () => {
    const response = await sendRaw(fleet.entries[0].callAddress, {
      bytes: "NOT HTTP AT ALL\r\n\r\n",
      timeoutMilliseconds: 2_000,
    });
    expect(response).toContain("HTTP/1.1 400");
  });

  test("headers beyond the maximum size are answered with 431", async () => {
    const response = await sendRaw(fleet.entries[0].callAddress, {
      bytes: `GET /desk/1 HTTP/1.1\r\nX: ${"x".repeat(70_000)}\r\n\r\n`,
      timeoutMilliseconds: 2_000,
    });
    expect(response).toContain("HTTP/1.1 431");
  });

  test("a request whose headers do not arrive in time is answered with 408", async () => {
    const response = await sendRaw(fleet.entries[0].callAddress, {
      bytes: "GET /desk/1 HTTP/1.1\r\nHost:",
      timeoutMilliseconds: 6_000,
    });
    expect(response).toContain("HTTP/1.1 408");
  });

  test("a body beyond the maximum size is answered with 413", async () => {
    const key = await mintKeyOwnedBy(fleet.entries[0]);
    const answer = await sendProtectedCall(fleet.entries[0], {
      key,
      body: "x".repeat(1_048_577),
    });
    expect(answer.status).toBe(413);
  });

  test("malformed frames on the mesh port close the connection", async () => {
    const { meshAddress } = fleet.entries[0];
    const payloads = [
      new Uint8Array([0xff, 0xff, 0xff, 0xff, 1]),
      frame(new Uint8Array([0xff, 1, 2, 3])),
      frame(new TextEncoder().encode("GET / HTTP/1.1\r\n\r\n")),
      frame(new Uint8Array(0)),
    ];
    for (const bytes of payloads) {
      const startedAt = performance.now();
      await sendRaw(meshAddress, { bytes, timeoutMilliseconds: 4_000 });
      expect(performance.now() - startedAt).toBeLessThan(4_000);
    }
  });

  test("a mesh peer that stops sending is disconnected", async () => {
    const { meshAddress } = fleet.entries[0];
    const startedAt = performance.now();
    await sendRaw(meshAddress, {
      bytes: new Uint8Array([0]),
      timeoutMilliseconds: 9_000,
    });
    expect(performance.now() - startedAt).toBeLessThan(9_000);
  });

  test("a published value that is not a sheet changes nothing", async () => {
    await fleet.publish('"never closed,1,\n', "sheet/broken");
    await sleep(300);
    const answer = await sendIdempotentCall(fleet.entries[0], "/desk/after");
    expect(answer.outcome).toBe("answered");
  });

  test("the calls of another caller were all answered meanwhile", async () => {
    clearInterval(backgroundCalls);
    await sleep(200);
    expect(backgroundFailures).toEqual([]);
  });
});
