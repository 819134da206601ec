/**
 * One request of a caller, from its head to the last byte of the answer.
 *
 * The exchange reads the body, places attempts, decides by what they prove
 * whether another may follow, and gives the caller exactly one outcome. It
 * ends at the caller's deadline or the route's time-out, whichever is first.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type AttemptEvidence,
  failureOutcome,
  mayTryAnother,
  proofOf,
  type RunProof,
} from "@marigoldford/kernel/attempt_outcome";
import { decideHedge, hedgeTime } from "@marigoldford/kernel/hedging";
import type {
  Placement,
  PlacementRequest,
} from "@marigoldford/kernel/placement";
import type { Ticket } from "@marigoldford/kernel/waiting_line";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { ServerVerdict } from "@marigoldford/kernel/server_load";
import type { ServiceName } from "@marigoldford/kernel/types";
import { headerText } from "./caller_protocol.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { copyHeaders } from "./header_lists.ts";
import {
  type RequestBody,
  ServerAttempt,
  type StreamedAnswer,
  type WholeAnswer,
} from "./server_attempt.ts";

/** Bodies up to this size are kept so that they can be sent again. */
const KEPT_BODY_BYTES = 64 * 1024;
/** How often a delayed request is considered for a second send. */
const HEDGE_INTERVAL_MILLISECONDS = 15;
/** A late request is looked at more seldom. */
const LATE_HEDGE_INTERVAL_MILLISECONDS = 100;
/** A second send is a gamble; large answers do not cross for it. */
const MOST_HEDGE_CROSSING_OBJECTIVES = 0.3;
/** A target gets a little less than what is left, for the way back. */
const WAY_BACK_MILLISECONDS = 2;
/** Callers may come back after this when no server can be named. */
const RETRY_SECONDS = 0.2;
/** Bursts last for seconds; callers that come back sooner add to them. */
const CROWDED_RETRY_SECONDS = 0.5;
/** A request that crashes servers is not wanted back soon. */
const QUARANTINE_RETRY_SECONDS = 30;
const STARTING_RETRY_SECONDS = 0.5;
const MILLISECONDS_IN_SECOND = 1_000;

export type RefusalCause =
  | "starting"
  | "leaving"
  | "no-route"
  | "no-request-id"
  | "body-too-large"
  | "no-server"
  | "no-room"
  | "servers-refused"
  | "quarantined"
  | "attempt-broken"
  | "time-out";

/** Why an attempt is made; a hedge runs beside an attempt, a retry after. */
type AttemptReason = "first" | "retry" | "hedge";

/** The entry's own answer, where no answer of a server can be given. */
type Refusal = {
  readonly status: number;
  readonly cause: RefusalCause;
  readonly retryAfterSeconds?: number;
};

type RunningAttempt = {
  readonly attempt: ServerAttempt;
  readonly placement: Placement;
};

export class RequestExchange {
  readonly #context: ExchangeContext;
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #arrivedAtMilliseconds: number;
  readonly #requestId: string;
  readonly #running = new Set<RunningAttempt>();
  readonly #tried = new Set<string>();
  readonly #proofs: RunProof[] = [];
  /** Servers to which a byte was handed, as the route bounds them. */
  #serversReached = 0;
  /** Attempts made, for the log; some never reached a server. */
  #attempts = 0;
  #route!: SnapshotRoute;
  /** Empty until the request has a route. */
  #service: ServiceName = "";
  #body!: RequestBody;
  #deadlineAtMilliseconds = Infinity;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #hedgeTimer: ReturnType<typeof setTimeout> | undefined;
  /** What was wrong with the last answer that could not be used. */
  #lastUnusable: string | undefined;
  #ticketInLine: Ticket | undefined;
  #isReturning = false;
  #isPlacing = false;
  #isOver = false;

  constructor(
    context: ExchangeContext,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#arrivedAtMilliseconds = context.clock();
    this.#requestId = headerText(request, context.protocol.headers.requestId) ??
      "";
  }

  /** Begins the exchange; `onOver` is called once, at its end. */
  start(onOver: () => void): void {
    this.#response.on("close", () => {
      if (!this.#isOver) this.#onCallerLeft();
      onOver();
    });
    const refusal = this.#admit();
    if (refusal !== undefined) return this.#refuse(refusal);
    this.#readBody();
  }

  get #elapsed(): number {
    return this.#context.clock() - this.#arrivedAtMilliseconds;
  }

  get #timeLeft(): number {
    return this.#deadlineAtMilliseconds - this.#context.clock();
  }

  /** Finds the route; returns why the request cannot be taken. */
  #admit(): Refusal | undefined {
    const { router, protocol } = this.#context;
    const { host = "" } = this.#request.headers;
    if (router.snapshot === undefined || !this.#context.isReady()) {
      return {
        status: 503,
        cause: "starting",
        retryAfterSeconds: STARTING_RETRY_SECONDS,
      };
    }
    const route = router.match(host, this.#request.url ?? "/");
    if (route === undefined) return { status: 404, cause: "no-route" };
    this.#route = route;
    if (this.#requestId === "") return { status: 400, cause: "no-request-id" };
    if (!this.#context.isAccepting()) {
      return { status: 503, cause: "leaving", retryAfterSeconds: 0 };
    }
    const { maximumBodyBytes } = router.snapshot.limits;
    if (Number(this.#request.headers["content-length"]) > maximumBodyBytes) {
      return { status: 413, cause: "body-too-large" };
    }
    const deadline = Number(
      headerText(this.#request, protocol.headers.deadline) ?? NaN,
    );
    const wait = Number.isFinite(deadline) && deadline >= 0
      ? Math.min(deadline, route.timeoutMilliseconds)
      : route.timeoutMilliseconds;
    this.#deadlineAtMilliseconds = this.#arrivedAtMilliseconds + wait;
    this.#timer = setTimeout(() => this.#onTimeUp(), wait);
    this.#isReturning = this.#context.workOf(route).noteWait(wait);
    this.#service = router.nextService(route);
    return undefined;
  }

  #readBody(): void {
    const { headers } = this.#request;
    const hasBody = headers["transfer-encoding"] !== undefined ||
      (headers["content-length"] ?? "0") !== "0";
    if (!hasBody) {
      this.#body = { kind: "whole", bytes: Buffer.alloc(0) };
      return this.#begin();
    }
    const chunks: Buffer[] = [];
    let kept = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      kept += chunk.byteLength;
      if (kept <= KEPT_BODY_BYTES) return;
      this.#request.off("data", onData);
      this.#request.off("end", onEnd);
      this.#request.pause();
      this.#streamBody(chunks, kept);
    };
    const onEnd = () => {
      this.#body = { kind: "whole", bytes: Buffer.concat(chunks) };
      this.#begin();
    };
    this.#request.on("data", onData);
    this.#request.on("end", onEnd);
  }

  #streamBody(head: Buffer[], received: number): void {
    const most = this.#context.router.snapshot?.limits.maximumBodyBytes ??
      Infinity;
    let total = received;
    this.#request.on("data", (chunk: Buffer) => {
      total += chunk.byteLength;
      if (total <= most || this.#isOver) return;
      this.#refuseUnlessSent({ status: 413, cause: "body-too-large" });
    });
    this.#request.pause();
    this.#body = { kind: "stream", head, source: this.#request };
    this.#begin();
  }

  #begin(): void {
    if (this.#isOver) return;
    if (this.#context.isQuarantined(this.#fingerprint())) {
      return this.#refuse({
        status: 503,
        cause: "quarantined",
        retryAfterSeconds: QUARANTINE_RETRY_SECONDS,
      });
    }
    this.#context.budgetOf(this.#service).noteRequest();
    const line = this.#context.lineOf(this.#service);
    if (line.hasBefore(this.#ticket("first"))) this.#wait("first");
    else void this.#tryServer("first");
  }

  #placementRequest(why: AttemptReason): PlacementRequest {
    const work = this.#context.workOf(this.#route);
    return {
      workMilliseconds: work.workMilliseconds,
      answerBytes: work.answerBytes,
      objectiveMilliseconds: this.#route.objectiveMilliseconds,
      tried: this.#tried,
      mostCrossingObjectives: why === "hedge"
        ? MOST_HEDGE_CROSSING_OBJECTIVES
        : Infinity,
    };
  }

  #hasOtherServer(why: AttemptReason): boolean {
    const result = this.#context.placer.choose(
      this.#service,
      this.#placementRequest(why),
    );
    return result.kind === "placed";
  }

  /** Places an attempt and sends it, if it is still wanted by then. */
  async #tryServer(why: AttemptReason): Promise<void> {
    this.#isPlacing = true;
    const result = await this.#context.placer.confirm(
      this.#service,
      this.#placementRequest(why),
      () => this.#timeLeft,
    );
    this.#isPlacing = false;
    if (this.#isOver || this.#response.headersSent) return;
    if (result.kind === "placed") return this.#send(result.placement, why);
    if (this.#running.size > 0) return;
    if (result.kind === "none") return this.#endInFailure("no-server");
    this.#wait(why);
  }

  /** Waits in the line of the service until there may be room. */
  #wait(why: AttemptReason): void {
    const ticket = this.#ticket(why);
    const line = this.#context.lineOf(this.#service);
    if (!line.hasHope(ticket)) return this.#endInFailure("no-room");
    this.#ticketInLine = ticket;
    line.enter(ticket);
  }

  #ticket(why: AttemptReason): Ticket {
    const { objectiveMilliseconds, priority } = this.#route;
    return {
      priority,
      workMilliseconds: this.#context.workOf(this.#route).workMilliseconds,
      arrivedAtMilliseconds: this.#arrivedAtMilliseconds,
      objectiveAtMilliseconds: this.#arrivedAtMilliseconds +
        objectiveMilliseconds,
      deadlineAtMilliseconds: this.#deadlineAtMilliseconds,
      isReturning: this.#isReturning,
      onTurn: (turn) => {
        this.#ticketInLine = undefined;
        if (this.#isOver) return;
        if (turn === "try") void this.#tryServer(why);
        else this.#endInFailure("no-room");
      },
    };
  }

  #send(placement: Placement, why: AttemptReason): void {
    const { server } = placement;
    const usable = this.#context.servers.find(server.registration.id);
    if (usable === undefined) return this.#endInFailure("no-server");
    this.#tried.add(server.registration.id);
    this.#attempts += 1;
    const attempt = new ServerAttempt({
      server,
      placement,
      connections: usable.connections,
      protocol: this.#context.protocol,
      requestId: this.#requestId,
      method: this.#request.method ?? "GET",
      path: this.#request.url ?? "/",
      headers: this.#forwardedHeaders(server.registration.id),
      body: this.#body,
      connectTimeoutMilliseconds: this.#context.connectTimeoutMilliseconds,
      clock: this.#context.clock,
      hooks: {
        onHead: (made, answer) => this.#onHead(made, answer),
        onWhole: (made, answer) => this.#onWhole(made, answer),
        onStream: (made, answer) => this.#onStream(made, answer),
        onFailure: (made, evidence) => this.#onFailure(made, evidence),
      },
    });
    server.noteStart(attempt, {
      startedAtMilliseconds: attempt.startedAtMilliseconds,
      expectedMilliseconds: placement.expectedMilliseconds,
    });
    this.#context.onInFlightChange(server);
    this.#running.add({ attempt, placement });
    if (why !== "first") this.#logAttempt(attempt, placement, why);
    this.#scheduleHedge();
  }

  #logAttempt(attempt: ServerAttempt, placement: Placement, why: string): void {
    this.#context.writeEvent({
      event: "attempt-started",
      request: this.#requestId,
      server: attempt.server.registration.id,
      why,
      candidates: placement.candidateCount,
      ...attempt.belief,
    });
  }

  #forwardedHeaders(serverId: string): string[] {
    const { headers } = this.#context.protocol;
    const replaced = new Set([headers.deadline, headers.expectedServer]);
    const body = this.#body;
    if (body.kind === "whole") replaced.add("content-length");
    const forwarded = copyHeaders(this.#request.rawHeaders, replaced);
    const left = Math.max(
      1,
      Math.floor(this.#timeLeft - WAY_BACK_MILLISECONDS),
    );
    forwarded.push(headers.deadline, String(left));
    forwarded.push(headers.expectedServer, serverId);
    if (body.kind === "whole") {
      const hadLength = this.#request.headers["content-length"] !== undefined;
      if (body.bytes.byteLength > 0 || hadLength) {
        forwarded.push("content-length", String(body.bytes.byteLength));
      }
    } else if (this.#request.headers["content-length"] === undefined) {
      forwarded.push("transfer-encoding", "chunked");
    }
    return forwarded;
  }

  /** Whether another server may get the request beside the first one. */
  #mayHedge(): boolean {
    return this.#route.kind !== "at-most-once" && this.#body.kind === "whole" &&
      this.#serversReached + this.#running.size < this.#route.maximumAttempts;
  }

  #scheduleHedge(): void {
    if (!this.#mayHedge()) return;
    const at = hedgeTime(
      this.#route.objectiveMilliseconds,
      this.#context.workOf(this.#route).workMilliseconds,
    );
    this.#setHedgeTimer(Math.max(0, at - this.#elapsed));
  }

  #setHedgeTimer(milliseconds: number): void {
    clearTimeout(this.#hedgeTimer);
    this.#hedgeTimer = setTimeout(
      () => void this.#considerHedge(),
      milliseconds,
    );
  }

  async #considerHedge(): Promise<void> {
    if (!this.#isWaitingForOne()) return;
    const [{ attempt }] = this.#running;
    const slowdown = await this.#context.placer.askSlowdown(attempt.server);
    if (!this.#isWaitingForOne() || attempt.isOver) return;
    const decision = decideHedge({
      elapsedMilliseconds: this.#elapsed,
      objectiveMilliseconds: this.#route.objectiveMilliseconds,
      workMilliseconds: this.#context.workOf(this.#route).workMilliseconds,
      firstSlowdown: slowdown,
    });
    const isSent = decision === "send" && this.#hasOtherServer("hedge") &&
      this.#context.budgetOf(this.#service).trySpend();
    if (isSent) return this.#tryServer("hedge");
    this.#setHedgeTimer(
      decision === "late"
        ? LATE_HEDGE_INTERVAL_MILLISECONDS
        : HEDGE_INTERVAL_MILLISECONDS,
    );
  }

  #isWaitingForOne(): boolean {
    return this.#mayHedge() && !this.#isOver && !this.#isPlacing &&
      this.#running.size === 1 &&
      !this.#response.headersSent;
  }

  #onHead(attempt: ServerAttempt, answer: IncomingMessage): void {
    const report = this.#context.protocol.readLoad(answer);
    if (report === undefined) return;
    const now = this.#context.clock();
    if (attempt.server.noteReport(report, now)) {
      this.#context.onReport(attempt.server);
    }
  }

  #onWhole(attempt: ServerAttempt, answer: WholeAnswer): void {
    const status = answer.head.statusCode ?? 502;
    this.#noteAnswer(attempt, status, answer.body.byteLength);
    if (this.#isOver) return;
    if (status >= 500 && this.#retryAfterServerError()) return;
    this.#finish();
    const raw = copyHeaders(
      answer.head.rawHeaders,
      new Set(["content-length"]),
    );
    if (this.#hasBody(status)) {
      raw.push("Content-Length", String(answer.body.byteLength));
    } else if (answer.head.headers["content-length"] !== undefined) {
      raw.push("Content-Length", answer.head.headers["content-length"]);
    }
    this.#writeHead(status, answer.head.statusMessage, raw);
    this.#response.end(this.#hasBody(status) ? answer.body : undefined);
    this.#countAnswer(attempt, status);
  }

  /** A server's own error may be mended by another server. */
  #retryAfterServerError(): boolean {
    if (this.#running.size > 0 || this.#isPlacing) return true;
    this.#proofs.push("may-have-run");
    if (!this.#mayTryAnother() || this.#timeLeft <= 0) return false;
    if (!this.#hasOtherServer("retry")) return false;
    if (!this.#context.budgetOf(this.#service).trySpend()) return false;
    void this.#tryServer("retry");
    return true;
  }

  #onStream(attempt: ServerAttempt, answer: StreamedAnswer): void {
    if (this.#isOver) return attempt.cancel();
    this.#cancelOthers(attempt);
    clearTimeout(this.#hedgeTimer);
    const status = answer.head.statusCode ?? 502;
    const raw = copyHeaders(answer.head.rawHeaders, new Set());
    this.#writeHead(status, answer.head.statusMessage, raw);
    for (const chunk of answer.chunks) this.#response.write(chunk);
    let bytes = answer.chunks.reduce((sum, part) => sum + part.byteLength, 0);
    answer.head.on("data", (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (this.#response.write(chunk)) return;
      answer.head.pause();
      this.#response.once("drain", () => answer.head.resume());
    });
    answer.head.on("end", async () => {
      const isWhole = await attempt.isWhole(answer.head);
      if (this.#isOver || attempt.isOver) return;
      if (!isWhole) return attempt.timeOut();
      attempt.finishStream();
      this.#noteAnswer(attempt, status, bytes);
      this.#finish();
      this.#response.end();
      this.#countAnswer(attempt, status);
    });
    answer.head.resume();
  }

  #hasBody(status: number): boolean {
    return this.#request.method !== "HEAD" && status !== 204 && status !== 304;
  }

  #noteAnswer(attempt: ServerAttempt, status: number, bytes: number): void {
    this.#context.onAnswered(() => this.#fingerprint());
    this.#serversReached += 1;
    const verdict = status >= 500 ? "failed" : "answered";
    this.#release(attempt, verdict);
    if (status >= 400) return;
    const { lastReport } = attempt.server;
    const took = attempt.headMilliseconds ?? attempt.elapsedMilliseconds;
    if (attempt.belief.load >= attempt.server.slots) return;
    this.#context.workOf(this.#route).note({
      workMilliseconds: took / (lastReport?.slowdown ?? 1),
      answerBytes: bytes,
    });
  }

  #countAnswer(attempt: ServerAttempt, status: number): void {
    const elapsed = this.#elapsed;
    const { objectiveMilliseconds } = this.#route;
    this.#context.metrics.noteAnswer(this.#route.name, elapsed, {
      isLate: elapsed > objectiveMilliseconds,
      status,
    });
    if (elapsed <= objectiveMilliseconds) return;
    this.#context.writeEvent({
      event: "request-late",
      request: this.#requestId,
      server: attempt.server.registration.id,
      attempts: this.#attempts,
      elapsedMilliseconds: Math.round(elapsed),
      objectiveMilliseconds,
      ...attempt.belief,
    });
  }

  #onFailure(attempt: ServerAttempt, evidence: AttemptEvidence): void {
    const proof = proofOf(evidence);
    this.#proofs.push(proof);
    if (proof === "may-have-run" || evidence.kind === "refused-by-server") {
      this.#serversReached += 1;
    }
    this.#release(attempt, this.#verdictOf(attempt, evidence));
    if (evidence.kind === "cancelled") return;
    this.#logFailure(attempt, evidence);
    if (evidence.kind === "unusable-answer") this.#lastUnusable = evidence.why;
    if (this.#isOver) {
      if (evidence.kind === "broken") void this.#explainBreak(attempt);
      return;
    }
    if (this.#response.headersSent) return this.#cutAnswer(attempt);
    if (evidence.kind === "broken") {
      void this.#explainBreak(attempt).then(() => this.#goOn(evidence));
    } else this.#goOn(evidence);
  }

  #explainBreak({ server }: ServerAttempt): Promise<void> {
    return this.#context.onBroken(this.#fingerprint(), server);
  }

  #goOn(evidence: AttemptEvidence): void {
    if (this.#isOver || this.#response.headersSent) return;
    if (this.#running.size > 0 || this.#isPlacing) return;
    this.#afterFailure(evidence);
  }

  #afterFailure(evidence: AttemptEvidence): void {
    if (this.#timeLeft <= 0) return this.#endInFailure("time-out");
    const isFree = evidence.kind === "not-connected";
    const budget = this.#context.budgetOf(this.#service);
    if (this.#mayTryAnother() && (isFree || budget.trySpend())) {
      return void this.#tryServer("retry");
    }
    const cause = evidence.kind === "refused-by-server"
      ? "servers-refused"
      : "attempt-broken";
    this.#endInFailure(cause);
  }

  #mayTryAnother(): boolean {
    if (this.#context.isQuarantined(this.#fingerprint())) return false;
    return mayTryAnother({
      kind: this.#route.kind,
      proofs: this.#proofs,
      serversReached: this.#serversReached,
      maximumAttempts: this.#route.maximumAttempts,
      isBodyAtHand: this.#body.kind === "whole",
      hasAnswerBegun: this.#response.headersSent,
    });
  }

  /** Tells requests apart that are the same but for their ids. */
  #fingerprint(): string {
    const { method = "", url = "", headers } = this.#request;
    const body = this.#body?.kind === "whole"
      ? this.#body.bytes.toString("latin1")
      : "";
    return `${method} ${headers.host} ${url} ${body}`;
  }

  #verdictOf(attempt: ServerAttempt, evidence: AttemptEvidence): ServerVerdict {
    switch (evidence.kind) {
      case "refused-by-server":
        return evidence.status === 503 || evidence.status === 429
          ? "refused"
          : "failed";
      case "cancelled":
        return "no-verdict";
      case "timed-out":
        return attempt.elapsedMilliseconds >
            this.#route.objectiveMilliseconds
          ? "silent"
          : "no-verdict";
      default:
        return "failed";
    }
  }

  #release(attempt: ServerAttempt, verdict: ServerVerdict): void {
    for (const running of this.#running) {
      if (running.attempt === attempt) this.#running.delete(running);
    }
    attempt.server.noteEnd(attempt, verdict, this.#context.clock());
    this.#context.onInFlightChange(attempt.server);
    this.#context.lineOf(this.#service).noteRoom();
  }

  #logFailure(attempt: ServerAttempt, evidence: AttemptEvidence): void {
    const detail = evidence.kind === "unusable-answer"
      ? evidence.why
      : evidence.kind === "refused-by-server"
      ? String(evidence.status)
      : undefined;
    this.#context.metrics.noteAttemptFailure(evidence.kind);
    this.#context.writeEvent({
      event: "attempt-failed",
      request: this.#requestId,
      server: attempt.server.registration.id,
      evidence: evidence.kind,
      detail,
      elapsedMilliseconds: Math.round(attempt.elapsedMilliseconds),
      ...attempt.belief,
    });
  }

  /** The answer had begun and cannot be completed. */
  #cutAnswer(attempt: ServerAttempt): void {
    this.#finish();
    this.#context.metrics.noteOutcome("cut");
    this.#context.writeEvent({
      event: "answer-cut",
      request: this.#requestId,
      server: attempt.server.registration.id,
      elapsedMilliseconds: Math.round(this.#elapsed),
    });
    this.#response.destroy();
  }

  #onTimeUp(): void {
    if (this.#isOver) return;
    for (const { attempt } of [...this.#running]) attempt.timeOut();
    if (!this.#isOver) this.#endInFailure("time-out");
  }

  #onCallerLeft(): void {
    this.#finish();
    this.#context.metrics.noteOutcome("caller-left");
    this.#context.writeEvent({
      event: "caller-left",
      request: this.#requestId,
      attempts: this.#attempts,
      elapsedMilliseconds: Math.round(this.#elapsed),
    });
  }

  #cancelOthers(kept: ServerAttempt | undefined): void {
    for (const { attempt } of [...this.#running]) {
      if (attempt !== kept) attempt.cancel();
    }
  }

  /** Marks the exchange as decided and ends what still runs for it. */
  #finish(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#hedgeTimer);
    if (this.#ticketInLine !== undefined) {
      this.#context.lineOf(this.#service).leave(this.#ticketInLine);
    }
    this.#cancelOthers(undefined);
  }

  #refuseUnlessSent(refusal: Refusal): void {
    if (this.#response.headersSent) this.#response.destroy();
    else this.#refuse(refusal);
  }

  /** Tells the caller what is known when no answer can be delivered. */
  #endInFailure(cause: RefusalCause): void {
    const isTimeUp = this.#timeLeft <= 0;
    switch (failureOutcome(this.#proofs, isTimeUp)) {
      case "not-run":
        return this.#refuse({
          status: 503,
          cause,
          retryAfterSeconds: cause === "no-room"
            ? CROWDED_RETRY_SECONDS
            : RETRY_SECONDS,
        });
      case "unknown-timed-out":
        return this.#refuse({ status: 504, cause });
      case "unknown-broken":
        return this.#refuse({ status: 502, cause });
    }
  }

  #refuse({ status, cause, retryAfterSeconds }: Refusal): void {
    this.#finish();
    const raw: string[] = [];
    if (retryAfterSeconds !== undefined) {
      raw.push("Retry-After", String(retryAfterSeconds));
    }
    if (this.#requestId !== "") {
      raw.push(this.#context.protocol.headers.requestId, this.#requestId);
    }
    const detail = this.#lastUnusable === undefined
      ? cause
      : `${cause}: ${this.#lastUnusable}`;
    const body = Buffer.from(`${detail}\n`);
    raw.push("Content-Type", "text/plain");
    raw.push("Content-Length", String(body.byteLength));
    this.#writeHead(status, undefined, raw);
    this.#response.end(body);
    this.#context.metrics.noteOutcome(status === 503 ? "refused" : "failed");
    this.#context.writeEvent({
      event: status === 503 ? "request-refused" : "request-failed",
      request: this.#requestId,
      route: this.#route?.name,
      status,
      reason: detail,
      attempts: this.#attempts,
      elapsedMilliseconds: Math.round(this.#elapsed),
      configurationVersion: this.#context.router.snapshot?.version ?? 0,
      servers: this.#context.servers.ofService(this.#service).length,
      waiting: this.#context.lineOf(this.#service).length,
      retryAfterSeconds: retryAfterSeconds === undefined
        ? undefined
        : Math.round(retryAfterSeconds * MILLISECONDS_IN_SECOND) /
          MILLISECONDS_IN_SECOND,
    });
  }

  #writeHead(status: number, message: string | undefined, raw: string[]): void {
    if (!this.#context.keepsConnections()) {
      this.#response.shouldKeepAlive = false;
      raw.push("Connection", "close");
    }
    this.#response.writeHead(status, message, raw as never);
  }
}
