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

const BASE_URL = "http://entry";
const NOT_FOUND: TextAnswer = { status: 404 };

/** Serves GET requests; `answer` gets the URL with its path and query. */
export function makeTextServer(
  address: Address,
  answer: (url: URL) => TextAnswer | undefined,
): AuxiliaryServer {
  const server = createServer((request, response) => {
    const target = request.url ?? "/";
    const isReadable = request.method === "GET" &&
      URL.canParse(target, BASE_URL);
    const found = isReadable ? answer(new URL(target, BASE_URL)) : undefined;
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
