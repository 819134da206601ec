/**
 * Tests that no request target, whatever it is, ends the process that serves
 * readiness, metrics and the lookup of entries.
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, beforeEach, expect, it } from "vitest";
import type { AuxiliaryServer } from "./plug_ins.ts";
import { makeTextServer } from "./text_server.ts";

const HOST = "127.0.0.1";

let port: number;
let server: AuxiliaryServer;

beforeEach(async () => {
  const probe = createServer().listen(0, HOST);
  await once(probe, "listening");
  ({ port } = probe.address() as AddressInfo);
  await new Promise((resolve) => probe.close(resolve));
  server = makeTextServer(
    `${HOST}:${port}`,
    ({ pathname, searchParams }) =>
      pathname === "/resolve"
        ? { status: 200, text: String(searchParams.get("zone")) }
        : undefined,
  );
  await server.open();
});

afterEach(() => server.close());

async function get(target: string): Promise<string> {
  const socket = connect(port, HOST);
  socket.end(`GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
  return await text(socket);
}

it.each(["//", "///", "//[", "http://", "http://[/resolve", "//a:99999/"])(
  "the request target %s is answered with 400",
  async (target) => {
    expect(await get(target)).toMatch(/^HTTP\/1.1 400 /);
    expect(await get("/resolve?zone=a")).toMatch(/^HTTP\/1.1 200 /);
  },
);

it.each(["/%", "/resolve?%ff=%", "*", "/resolve/..%2f", "/%00"])(
  "the request target %s is answered",
  async (target) => {
    expect(await get(target)).toMatch(/^HTTP\/1.1 (200|404) /);
  },
);
