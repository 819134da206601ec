/**
 * An HTTP server for GET requests with short answers.
 */
import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage } from "node:http";
import type { Address } from "@marigoldford/kernel/types";
import { listenAt } from "./listen.ts";
import type { AuxiliaryServer } from "./plug_ins.ts";

export type TextAnswer = {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
};

const BAD_REQUEST: TextAnswer = { status: 400 };
const NOT_FOUND: TextAnswer = { status: 404 };
const BASE = "http://entry";

/** Serves GET requests; `answer` gets the URL with its path and query. */
export function makeTextServer(
  address: Address,
  answer: (url: URL) => TextAnswer | undefined,
): AuxiliaryServer {
  function answerTo({ method, url: target = "/" }: IncomingMessage) {
    if (!URL.canParse(target, BASE)) return BAD_REQUEST;
    const url = new URL(target, BASE);
    return (method === "GET" ? answer(url) : undefined) ?? NOT_FOUND;
  }
  const server = createServer((request, response) => {
    const { status, contentType, text = "" } = answerTo(request);
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
