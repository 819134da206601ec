/**
 * One attempt of a request at one backend server.
 *
 * The attempt checks that the answer belongs to the request and is whole, and
 * ends with exactly one piece of evidence. Small answers are collected before
 * they are handed on, so that a broken one can still be replaced; larger ones
 * are handed on while they arrive.
 */
import { Buffer } from "node:buffer";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import type { Placement } from "@marigoldford/kernel/placement";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import { type CallerProtocol, headerValue } from "./caller_protocol.ts";
import type { RequestBody } from "./request_body.ts";
import {
  detectReset,
  hasSocketFailed,
  type ServerConnections,
  trackSocketErrors,
} from "./server_connections.ts";

export type AttemptOptions = {
  readonly placement: Placement;
  readonly connections: ServerConnections;
  readonly protocol: CallerProtocol;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: RequestBody;
  readonly connectTimeoutMilliseconds: number;
  readonly clock: () => number;
  readonly hooks: AttemptHooks;
};

/** A whole answer that was collected. */
export type BufferedAnswer = {
  readonly kind: "whole";
  readonly head: IncomingMessage;
  readonly body: Buffer;
};

/** An answer that is too large to collect. */
export type StreamedAnswer = {
  readonly kind: "stream";
  readonly head: IncomingMessage;
  readonly chunks: readonly Buffer[];
};

export type AttemptHooks = {
  /** The head of any answer has arrived; called before it is judged. */
  readonly onAnswerHead: (
    attempt: ServerAttempt,
    answer: IncomingMessage,
  ) => void;
  readonly onBufferedAnswer: (
    attempt: ServerAttempt,
    answer: BufferedAnswer,
  ) => void;
  /** Reading the rest and judging its end is left to the receiver. */
  readonly onStreamedAnswer: (
    attempt: ServerAttempt,
    answer: StreamedAnswer,
  ) => void;
  /** The attempt ended without a whole answer. */
  readonly onFailure: (
    attempt: ServerAttempt,
    evidence: AttemptEvidence,
  ) => void;
};

/** Inputs of a placement, as they were when it was made. */
export type PlacementInputs = {
  readonly expectedMilliseconds: number;
  readonly load: number;
  readonly slowdown?: number;
  readonly reportAgeMilliseconds?: number;
  readonly failureDomain: string;
  readonly isCold: boolean;
};

function beliefOf(options: AttemptOptions, now: number): PlacementInputs {
  const { server, expectedMilliseconds } = options.placement;
  const { lastReport } = server;
  return {
    expectedMilliseconds: Math.round(expectedMilliseconds),
    load: server.load(now),
    slowdown: lastReport?.slowdown,
    reportAgeMilliseconds: lastReport === undefined
      ? undefined
      : Math.round(now - lastReport.atMilliseconds),
    failureDomain: server.registration.failureDomain,
    isCold: server.isCold(now),
  };
}

/** Answers up to this size are collected before they are handed on. */
const COLLECTED_BYTES = 128 * 1024;

type AttemptPhase = "connecting" | "sent" | "collecting" | "streaming" | "over";

export class ServerAttempt {
  readonly startedAtMilliseconds: number;
  readonly #options: AttemptOptions;
  readonly #request: ClientRequest;
  #phase: AttemptPhase = "connecting";
  #socket: Socket | undefined;
  #end: Promise<void> | undefined;
  #connectTimer: ReturnType<typeof setTimeout> | undefined;
  #firstByteAtMilliseconds: number | undefined;
  /** What decided the placement, for the log. */
  readonly placementInputs: PlacementInputs;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.startedAtMilliseconds = options.clock();
    this.placementInputs = beliefOf(options, this.startedAtMilliseconds);
    const { host, port } = splitAddress(this.server.registration.address);
    this.#request = request({
      host,
      port,
      agent: options.connections,
      method: options.method,
      path: options.path,
      headers: options.headers,
      setHost: false,
    });
    this.#listen();
    this.#sendBody();
  }

  get server(): ServerLoad {
    return this.#options.placement.server;
  }

  get hasEnded(): boolean {
    return this.#phase === "over";
  }

  /** Whether a byte of the request may have been handed to a connection. */
  get mayHaveSentBytes(): boolean {
    return this.#phase !== "connecting";
  }

  get elapsedMilliseconds(): number {
    return this.#options.clock() - this.startedAtMilliseconds;
  }

  /** Time to the head of the answer, once it has arrived. */
  get timeToHeadMilliseconds(): number | undefined {
    if (this.#firstByteAtMilliseconds === undefined) return undefined;
    return this.#firstByteAtMilliseconds - this.startedAtMilliseconds;
  }

  /** Ends the attempt; the server learns it by the closed connection. */
  cancel(): void {
    this.#fail({ kind: "cancelled" });
  }

  /** Evidence for an attempt that is ended while it may be on its way. */
  timeOut(): void {
    this.#fail(
      this.mayHaveSentBytes ? { kind: "timed-out" } : { kind: "not-connected" },
    );
  }

  #listen(): void {
    const { connectTimeoutMilliseconds } = this.#options;
    this.#connectTimer = setTimeout(
      () => this.#fail({ kind: "not-connected" }),
      connectTimeoutMilliseconds,
    );
    this.#request.on("socket", (socket) => this.#onSocket(socket));
    this.#request.on("error", () => this.#onBroken());
    this.#request.on("response", (answer) => this.#onAnswer(answer));
    this.#request.on("upgrade", (_answer, socket) => {
      socket.destroy();
      this.#fail({ kind: "unusable-answer", why: "protocol switched" });
    });
  }

  #onSocket(socket: Socket): void {
    this.#socket = socket;
    if (!socket.connecting) return this.#noteSent();
    socket.setNoDelay(true);
    trackSocketErrors(socket);
    socket.once("connect", () => this.#noteSent());
  }

  #noteSent(): void {
    clearTimeout(this.#connectTimer);
    if (this.#phase === "connecting") this.#phase = "sent";
  }

  #sendBody(): void {
    const { body } = this.#options;
    if (body.kind === "whole") {
      this.#request.end(body.bytes);
      return;
    }
    for (const chunk of body.bufferedChunks) this.#request.write(chunk);
    body.source.pipe(this.#request);
  }

  #onBroken(): void {
    if (!this.mayHaveSentBytes) return this.#fail({ kind: "not-connected" });
    this.#fail({ kind: "broken", hadAnswerBegun: this.#hasAnswerBegun() });
  }

  #hasAnswerBegun(): boolean {
    return this.#phase === "collecting" || this.#phase === "streaming";
  }

  /**
   * An answer without a length ends with its connection; it is whole only if
   * the connection was closed and not reset.
   */
  #watchEnd(answer: IncomingMessage): void {
    const { headers } = answer;
    const isFramed = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    if (isFramed || this.#socket === undefined) return;
    const socket = this.#socket;
    socket.prependOnceListener("end", () => this.#end = detectReset(socket));
  }

  #onAnswer(answer: IncomingMessage): void {
    answer.on("error", () => this.#onBroken());
    if (this.hasEnded) {
      answer.destroy();
      return;
    }
    this.#phase = "collecting";
    this.#firstByteAtMilliseconds = this.#options.clock();
    const fault = this.#faultOf(answer);
    if (fault !== undefined) return this.#fail(fault);
    this.#options.hooks.onAnswerHead(this, answer);
    this.#watchEnd(answer);
    this.#collect(answer);
  }

  /** Why an answer cannot be handed on, judged by its head. */
  #faultOf(answer: IncomingMessage): AttemptEvidence | undefined {
    const { headers } = this.#options.protocol;
    const status = answer.statusCode ?? 0;
    const id = headerValue(answer, headers.requestId);
    const isRefusal = headerValue(answer, headers.notExecuted) !== undefined;
    if (id !== undefined && id !== this.#options.requestId) {
      return { kind: "unusable-answer", why: "answer to another request" };
    }
    if (isRefusal || (status === 421 && id !== undefined)) {
      this.#options.hooks.onAnswerHead(this, answer);
      answer.resume();
      return { kind: "refused-by-server", status };
    }
    if (status === 421) return { kind: "refused-by-server", status };
    if (id === undefined) {
      return { kind: "unusable-answer", why: "no request id" };
    }
    if (answer.headers["content-encoding"] !== undefined) {
      return { kind: "unusable-answer", why: "encoded body" };
    }
    if (headerValue(answer, headers.signature) === undefined) {
      return { kind: "unusable-answer", why: `unsigned status ${status}` };
    }
    return undefined;
  }

  #collect(answer: IncomingMessage): void {
    const chunks: Buffer[] = [];
    let collected = 0;
    answer.on("data", (chunk: Buffer) => {
      if (this.#phase !== "collecting") return;
      chunks.push(chunk);
      collected += chunk.byteLength;
      if (collected <= COLLECTED_BYTES) return;
      this.#phase = "streaming";
      answer.pause();
      answer.removeAllListeners("data");
      this.#options.hooks.onStreamedAnswer(this, {
        kind: "stream",
        head: answer,
        chunks,
      });
    });
    answer.on("end", () => void this.#onEnd(answer, chunks));
  }

  async #onEnd(
    answer: IncomingMessage,
    chunks: readonly Buffer[],
  ): Promise<void> {
    if (this.#phase !== "collecting") return;
    const isWhole = await this.isComplete(answer);
    if (this.#phase !== "collecting") return;
    if (!isWhole) return this.#onBroken();
    this.#finish();
    this.#options.hooks.onBufferedAnswer(this, {
      kind: "whole",
      head: answer,
      body: Buffer.concat(chunks),
    });
  }

  /** Whether an answer ended as its framing says, not by a reset. */
  async isComplete(answer: IncomingMessage): Promise<boolean> {
    await this.#end;
    const hasFailed = this.#socket !== undefined &&
      hasSocketFailed(this.#socket);
    return answer.complete && !hasFailed;
  }

  /** Marks a streamed answer as handed on. */
  completeStream(): void {
    this.#finish();
  }

  /** A request that was not sent whole leaves its connection unusable. */
  #finish(): void {
    this.#phase = "over";
    if (!this.#request.writableFinished) this.#request.destroy();
  }

  #fail(evidence: AttemptEvidence): void {
    if (this.hasEnded) return;
    clearTimeout(this.#connectTimer);
    this.#phase = "over";
    const mayKeepConnection = evidence.kind === "refused-by-server" &&
      this.#request.writableFinished;
    if (!mayKeepConnection) this.#request.destroy();
    this.#options.hooks.onFailure(this, evidence);
  }
}
