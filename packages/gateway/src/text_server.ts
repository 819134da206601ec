/**
 * An HTTP server for GET requests with short answers.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { Address } from "@marigoldford/kernel/types";
import { listenAt } from "./listen.ts";
import type { AuxiliaryServer } from "./plug_ins.ts";

export type TextAnswer = {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
};

const NOT_FOUND: TextAnswer = { status: 404 };

/** Serves GET requests; `answer` gets the URL with its path and query. */
export function makeTextServer(
  address: Address,
  answer: (url: URL) => TextAnswer | undefined,
): AuxiliaryServer {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://entry");
    const found = request.method === "GET" ? answer(url) : undefined;
    const { status, contentType, text = "" } = found ?? NOT_FOUND;
    response.writeHead(status, {
      "content-length": Buffer.byteLength(text),
      ...(contentType === undefined ? {} : { "content-type": contentType }),
    });
    response.end(text);
  });
  return {
    open: () => listenAt(server, address),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
