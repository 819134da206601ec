/**
 * An HTTP server for GET requests with short answers.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { endAfterRequest } from "@marigoldford/http_answers/end_after_request";
import type { Address } from "@marigoldford/kernel/types";
import { ConnectionGuard } from "./callers/connection_guard.ts";
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
  guard = new ConnectionGuard({ limits: undefined }),
): AuxiliaryServer {
  function answerTo({ method, url: target = "/" }: IncomingMessage) {
    if (!URL.canParse(target, BASE)) return BAD_REQUEST;
    const url = new URL(target, BASE);
    return (method === "GET" ? answer(url) : undefined) ?? NOT_FOUND;
  }
  function serve(request: IncomingMessage, response: ServerResponse): void {
    const { status, contentType, text = "" } = answerTo(request);
    response.writeHead(status, {
      "content-length": Buffer.byteLength(text),
      ...(contentType === undefined ? {} : { "content-type": contentType }),
    });
    endAfterRequest(response, Buffer.from(text));
  }
  const server = createServer({ requireHostHeader: false });
  guard.attach(server, "auxiliary", { serve });
  return {
    open: () => listenAt(server, address),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
