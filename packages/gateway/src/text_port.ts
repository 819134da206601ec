/**
 * A small HTTP server for questions with short answers.
 */
import { createServer } from "node:http";
import { splitAddress } from "@marigoldford/kernel/address";
import type { Address } from "@marigoldford/kernel/types";
import type { SidePort } from "./plug_ins.ts";

export type TextAnswer = {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
};

const NOT_FOUND: TextAnswer = { status: 404 };

/** Serves GET requests; `answer` gets the path and its query. */
export function textPort(
  address: Address,
  answer: (url: URL) => TextAnswer | undefined,
): SidePort {
  const { host, port } = splitAddress(address);
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://entry");
    const given = request.method === "GET" ? answer(url) : undefined;
    const { status, contentType, text = "" } = given ?? NOT_FOUND;
    response.writeHead(status, {
      "content-length": new TextEncoder().encode(text).byteLength,
      ...(contentType === undefined ? {} : { "content-type": contentType }),
    });
    response.end(text);
  });
  return {
    open: () =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port }, () => {
          server.off("error", reject);
          resolve();
        });
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
