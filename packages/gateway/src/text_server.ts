/**
 * A small HTTP server for questions with short answers.
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

/** Serves GET requests; `answer` gets the path and its query. */
export function makeTextServer(
  address: Address,
  answer: (url: URL) => TextAnswer | undefined,
): AuxiliaryServer {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://entry");
    const given = request.method === "GET" ? answer(url) : undefined;
    const { status, contentType, text = "" } = given ?? NOT_FOUND;
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
