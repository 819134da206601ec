/**
 * One attempt to run a request on one backend server.
 *
 * The attempt checks that the answer belongs to the request and is complete. It
 * ends once: with a complete answer, or with the evidence of how it failed.
 * Small answers are buffered before they are forwarded, so that a broken one
 * can still be replaced; larger ones are streamed.
 */
import { Buffer } from "node:buffer";
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { splitAddress } from "@marigoldford/kernel/address";
import { FRESH_REPORT_MILLISECONDS } from "@marigoldford/kernel/load_probe";
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import type { Placement } from "@marigoldford/kernel/placement";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import { discardAnswer } from "@marigoldford/http_answers/discard_answer";
import { limitBytesBeforeAnswer } from "@marigoldford/http_answers/head_limit";
import { isValidStatus } from "@marigoldford/http_answers/valid_status";
import { type CallerProtocol, headerValue } from "./caller_protocol.ts";
import type { RequestBody } from "./callers/request_body.ts";
import type { CrashSign } from "./server_inquiry.ts";
import {
  detectReset,
  hasEarlierAnswer,
  hasSocketFailed,
  type ServerConnections,
} from "./server_connections.ts";

export type AttemptOptions = {
  readonly placement: Placement;
  /** Whether the request is passed on to a peer in place of a server. */
  readonly isForward: boolean;
  readonly connections: ServerConnections;
  readonly protocol: CallerProtocol;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: RequestBody;
  readonly connectTimeoutMilliseconds: number;
  /** After this without an answer `onSilence` is called. */
  readonly silenceMilliseconds: number;
  readonly clock: () => number;
  readonly hooks: AttemptHooks;
};

/** A complete answer held in memory. */
export type BufferedAnswer = {
  readonly kind: "buffered";
  readonly head: IncomingMessage;
  readonly body: Buffer;
};

/** An answer that is too large to buffer. */
export type StreamedAnswer = {
  readonly kind: "stream";
  readonly head: IncomingMessage;
  readonly chunks: readonly Buffer[];
};

export type AttemptHooks = {
  /**
   * Called with the head of a usable answer, or of one that refuses the
   * request.
   */
  readonly onAnswerHead: (
    attempt: ServerAttempt,
    answer: IncomingMessage,
  ) => void;
  /**
   * Called with the head of an answer whose statements about its server count:
   * of a complete one, one that is streamed, or a refusal.
   */
  readonly onStatement: (
    attempt: ServerAttempt,
    answer: IncomingMessage,
    kind: "answer" | "refusal",
  ) => void;
  readonly onBufferedAnswer: (
    attempt: ServerAttempt,
    answer: BufferedAnswer,
  ) => void;
  /** The receiver reads the rest and checks that it is complete. */
  readonly onStreamedAnswer: (
    attempt: ServerAttempt,
    answer: StreamedAnswer,
  ) => void;
  /** The server answered on a connection that was opened for the attempt. */
  readonly onConnection: (attempt: ServerAttempt) => void;
  /**
   * No answer has begun for some time after the whole request was passed on, or
   * until the attempt ran out of time. Called once.
   */
  readonly onSilence: (attempt: ServerAttempt) => void;
  /** The attempt ended without a complete answer. */
  readonly onFailure: (
    attempt: ServerAttempt,
    evidence: AttemptEvidence,
  ) => void;
};

/** State of the selected server when it was selected; all of it is logged. */
export type PlacementInputs = {
  readonly expectedMilliseconds: number;
  readonly load: number;
  readonly slowdown?: number;
  readonly reportAgeMilliseconds?: number;
  readonly failureDomain: string;
  readonly isCold: boolean;
  /** Requests a second that the server takes from the fleet, if limited. */
  readonly requestLimit?: number;
};

function placementInputsOf(
  options: AttemptOptions,
  now: number,
): PlacementInputs {
  const { server, expectedMilliseconds } = options.placement;
  const { lastReport, restrictions: { requestLimit } } = server;
  return {
    expectedMilliseconds: Math.round(expectedMilliseconds),
    load: server.load(now),
    slowdown: lastReport?.slowdown,
    reportAgeMilliseconds: lastReport === undefined
      ? undefined
      : Math.round(now - lastReport.atMilliseconds),
    failureDomain: server.registration.failureDomain,
    isCold: server.isCold(now),
    requestLimit: requestLimit === "none" ? undefined : requestLimit,
  };
}

/** Answers up to this size are buffered before they are forwarded. */
const MAXIMUM_BUFFERED_ANSWER_BYTES = 128 * 1024;
/** More chunks are merged, as each takes memory beside its bytes. */
const MAXIMUM_BUFFERED_CHUNKS = 1_024;

/** Whether the end of an answer is marked other than by a close. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/** Characters that Node's parser accepts there, but its server rejects. */
const MALFORMED_REASON = /[^\t\x20-\x7e\x80-\xff]/;

function hasMalformedStatusLine(
  { statusCode, statusMessage = "" }: IncomingMessage,
): boolean {
  return !isValidStatus(statusCode) || MALFORMED_REASON.test(statusMessage);
}

type AttemptPhase = "connecting" | "sent" | "buffering" | "streaming" | "ended";

export class ServerAttempt {
  readonly startedAtMilliseconds: number;
  readonly #options: AttemptOptions;
  readonly #request: ClientRequest;
  #phase: AttemptPhase = "connecting";
  #socket: Socket | undefined;
  #answer: IncomingMessage | undefined;
  #endHeadLimit: () => void = () => {};
  #resetCheck: Promise<void> | undefined;
  #connectTimer: ReturnType<typeof setTimeout> | undefined;
  #headAtMilliseconds: number | undefined;
  #hasOpenedConnection = false;
  #silenceTimer: ReturnType<typeof setTimeout> | undefined;
  #hasBroken = false;
  readonly placementInputs: PlacementInputs;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.startedAtMilliseconds = options.clock();
    this.placementInputs = placementInputsOf(
      options,
      this.startedAtMilliseconds,
    );
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
    // By default, Node drops header lines of the answer after the first 1,000.
    this.#request.maxHeadersCount = 0;
    this.#addListeners();
    this.#sendBody();
  }

  get server(): ServerLoad {
    return this.#options.placement.server;
  }

  get isForward(): boolean {
    return this.#options.isForward;
  }

  get hasEnded(): boolean {
    return this.#phase === "ended";
  }

  /**
   * Whether a connection was opened and nothing came on it. A middlebox may
   * accept a connection and reset it, also if no server is behind it.
   */
  get hasUnusedConnection(): boolean {
    return this.#hasOpenedConnection && this.#headAtMilliseconds === undefined;
  }

  /** Whether bytes of the request may have been written to a connection. */
  get mayHaveSentBytes(): boolean {
    return this.#phase !== "connecting";
  }

  /**
   * Slowdown of the server when it started the request, which then holds for
   * all of its work. Undefined if a fresh report is missing, or if the request
   * had to queue at the server.
   */
  get slowdownAtStart(): number | undefined {
    const { load, slowdown, reportAgeMilliseconds } = this.placementInputs;
    if (load >= this.server.slots) return undefined;
    return reportAgeMilliseconds !== undefined &&
        reportAgeMilliseconds <= FRESH_REPORT_MILLISECONDS
      ? slowdown
      : undefined;
  }

  /** What the end of the attempt would be a sign of, if its server is down. */
  get crashSign(): CrashSign {
    return this.#hasBroken ? "broken-connection" : "silence";
  }

  get now(): number {
    return this.#options.clock();
  }

  get elapsedMilliseconds(): number {
    return this.#options.clock() - this.startedAtMilliseconds;
  }

  /**
   * Time from the start to the head of the answer; undefined until it arrives.
   */
  get timeToHeadMilliseconds(): number | undefined {
    if (this.#headAtMilliseconds === undefined) return undefined;
    return this.#headAtMilliseconds - this.startedAtMilliseconds;
  }

  /** Cancels the attempt; the closed connection tells the backend server. */
  cancel(): void {
    this.#fail({ kind: "cancelled" });
  }

  /**
   * Ends the attempt at a deadline; without a connection the request did not
   * run.
   */
  timeOut(): void {
    this.#fail(
      this.mayHaveSentBytes ? { kind: "timed-out" } : { kind: "not-connected" },
    );
  }

  #addListeners(): void {
    const { connectTimeoutMilliseconds } = this.#options;
    this.#connectTimer = setTimeout(
      () => this.#fail({ kind: "not-connected" }),
      connectTimeoutMilliseconds,
    );
    this.#request.on("socket", (socket) => this.#onSocket(socket));
    this.#request.on("error", () => this.#onConnectionError());
    this.#request.on("response", (answer) => this.#onAnswer(answer));
    this.#request.on("upgrade", (_answer, socket) => {
      socket.destroy();
      this.#fail({ kind: "unusable-answer", why: "protocol switched" });
    });
  }

  #onSocket(socket: Socket): void {
    this.#socket = socket;
    this.#endHeadLimit = limitBytesBeforeAnswer(
      socket,
      (why) => this.#fail({ kind: "unusable-answer", why }),
    );
    if (!socket.connecting) return this.#onConnected();
    socket.setNoDelay(true);
    socket.once("connect", () => {
      this.#hasOpenedConnection = true;
      this.#onConnected();
    });
  }

  #onConnected(): void {
    clearTimeout(this.#connectTimer);
    if (this.#phase !== "connecting") return;
    this.#phase = "sent";
    const { body, silenceMilliseconds } = this.#options;
    // A server may read a long body to its end before it answers.
    if (body.kind === "stream") return;
    this.#silenceTimer = setTimeout(
      () => this.#onSilence(),
      silenceMilliseconds,
    );
  }

  #onSilence(): void {
    if (this.#silenceTimer === undefined) return;
    this.#endSilence();
    this.#options.hooks.onSilence(this);
  }

  #endSilence(): void {
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = undefined;
  }

  #sendBody(): void {
    const { body } = this.#options;
    if (body.kind === "buffered") {
      this.#request.end(body.bytes);
      return;
    }
    for (const chunk of body.takeBuffered()) this.#request.write(chunk);
    body.source.pipe(this.#request);
  }

  #onConnectionError(): void {
    if (this.#isFramedAnswerComplete()) return;
    if (!this.mayHaveSentBytes) return this.#fail({ kind: "not-connected" });
    if (this.#phase === "sent" && this.#socket !== undefined) {
      this.#options.connections.recordBreak(this.#socket);
    }
    this.#fail({ kind: "broken", hadAnswerBegun: this.#hasAnswerStarted() });
  }

  #hasAnswerStarted(): boolean {
    return this.#phase === "buffering" || this.#phase === "streaming";
  }

  /**
   * Whether all of an answer that declares its length has arrived. What happens
   * on its connection after that takes nothing from it.
   */
  #isFramedAnswerComplete(): boolean {
    return this.#hasAnswerStarted() && this.#answer !== undefined &&
      isFramed(this.#answer) && this.#answer.complete;
  }

  /**
   * An answer that is neither chunked nor declares its length ends with its
   * connection; it is complete only if the connection was closed and not reset.
   */
  #checkUnframedEnd(answer: IncomingMessage): void {
    if (isFramed(answer) || this.#socket === undefined) return;
    const socket = this.#socket;
    socket.prependOnceListener(
      "end",
      () => this.#resetCheck = detectReset(socket),
    );
  }

  #onAnswer(answer: IncomingMessage): void {
    this.#endHeadLimit();
    this.#endSilence();
    answer.on("error", () => this.#onConnectionError());
    if (this.hasEnded) {
      answer.destroy();
      return;
    }
    this.#answer = answer;
    this.#phase = "buffering";
    this.#headAtMilliseconds = this.#options.clock();
    if (this.#hasOpenedConnection) this.#options.hooks.onConnection(this);
    const rejection = this.#rejectionOf(answer);
    if (rejection !== undefined) return this.#fail(rejection);
    this.#options.hooks.onAnswerHead(this, answer);
    this.#checkUnframedEnd(answer);
    this.#buffer(answer);
  }

  /**
   * Checks the head of an answer; returns the evidence if it cannot be
   * forwarded.
   */
  #rejectionOf(answer: IncomingMessage): AttemptEvidence | undefined {
    const { headers } = this.#options.protocol;
    const status = answer.statusCode ?? 0;
    const id = headerValue(answer, headers.requestId);
    const isRefusal = headerValue(answer, headers.notExecuted) !== undefined;
    if (id !== undefined && id !== this.#options.requestId) {
      return { kind: "unusable-answer", why: "answer to another request" };
    }
    // Without an id it may repeat the refusal of an earlier request.
    const belongsToRequest = id !== undefined || this.#isFirstAnswer();
    if (belongsToRequest && (isRefusal || status === 421)) {
      // A misdirected request was answered by another server.
      if (status !== 421) {
        this.#options.hooks.onAnswerHead(this, answer);
        this.#options.hooks.onStatement(this, answer, "refusal");
      }
      return { kind: "refused-by-server", status };
    }
    if (id === undefined) {
      return { kind: "unusable-answer", why: "no request id" };
    }
    if (hasMalformedStatusLine(answer)) {
      return { kind: "unusable-answer", why: "malformed status line" };
    }
    if (answer.headers["content-encoding"] !== undefined) {
      return { kind: "unusable-answer", why: "encoded body" };
    }
    if (headerValue(answer, headers.signature) === undefined) {
      return { kind: "unusable-answer", why: `unsigned status ${status}` };
    }
    return undefined;
  }

  /** Whether no earlier answer can be repeated on the connection. */
  #isFirstAnswer(): boolean {
    return this.#socket !== undefined && !hasEarlierAnswer(this.#socket);
  }

  #buffer(answer: IncomingMessage): void {
    const chunks: Buffer[] = [];
    let bufferedBytes = 0;
    answer.on("data", (chunk: Buffer) => {
      if (this.#phase !== "buffering") return;
      chunks.push(chunk);
      bufferedBytes += chunk.byteLength;
      if (chunks.length > MAXIMUM_BUFFERED_CHUNKS) {
        chunks.splice(0, chunks.length, Buffer.concat(chunks));
      }
      if (bufferedBytes <= MAXIMUM_BUFFERED_ANSWER_BYTES) return;
      this.#phase = "streaming";
      answer.pause();
      answer.removeAllListeners("data");
      this.#options.hooks.onStatement(this, answer, "answer");
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
    if (this.#phase !== "buffering") return;
    const isComplete = await this.isComplete(answer);
    if (this.#phase !== "buffering") return;
    if (!isComplete) return this.#onConnectionError();
    this.#end();
    this.#options.hooks.onStatement(this, answer, "answer");
    this.#options.hooks.onBufferedAnswer(this, {
      kind: "buffered",
      head: answer,
      body: Buffer.concat(chunks),
    });
  }

  /**
   * Whether an answer ended as its framing declares; without a framing, it must
   * not have ended by a reset.
   */
  async isComplete(answer: IncomingMessage): Promise<boolean> {
    if (isFramed(answer)) return answer.complete;
    await this.#resetCheck;
    const hasFailed = this.#socket !== undefined &&
      hasSocketFailed(this.#socket);
    return answer.complete && !hasFailed;
  }

  /** Ends the attempt after its streamed answer was forwarded. */
  completeStream(): void {
    this.#end();
  }

  /** A request that was not sent completely leaves its connection unusable. */
  #end(): void {
    this.#phase = "ended";
    if (!this.#request.writableFinished) this.#request.destroy();
  }

  #fail(evidence: AttemptEvidence): void {
    if (this.hasEnded) return;
    clearTimeout(this.#connectTimer);
    this.#endHeadLimit();
    this.#phase = "ended";
    this.#hasBroken = evidence.kind === "broken";
    if (evidence.kind === "timed-out") this.#onSilence();
    this.#endSilence();
    const mayKeepConnection = evidence.kind === "refused-by-server" &&
      this.#request.writableFinished;
    if (mayKeepConnection && this.#answer !== undefined) {
      discardAnswer(this.#answer);
    } else this.#request.destroy();
    this.#options.hooks.onFailure(this, evidence);
  }
}
