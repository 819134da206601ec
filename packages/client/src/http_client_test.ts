/**
 * Guards against a status that is none, such as 000, which the client would
 * report as that of an answer.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, it } from "vitest";
import { HttpClient } from "./http_client.ts";

it.each(["000", "600"])("an answer with status %s is lost", async (status) => {
  const odd = createServer(({ socket }) =>
    socket.end(`HTTP/1.1 ${status} \r\nContent-Length: 2\r\n\r\nok`)
  ).listen(0, "127.0.0.1");
  await once(odd, "listening");
  const client = new HttpClient();
  const { port } = odd.address() as AddressInfo;
  const answer = await client.send(`127.0.0.1:${port}`, {
    method: "GET",
    path: "/",
    headers: {},
    body: undefined,
    timeoutMilliseconds: 1_000,
  });
  expect(answer._unsafeUnwrapErr()).toMatchObject({ mayHaveSentBytes: true });
  client.close();
  odd.close();
});
