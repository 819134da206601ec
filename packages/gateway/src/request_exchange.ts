/**
 * One request of a caller, from its head to the last byte of the answer.
 *
 * The exchange places attempts, decides by what they prove whether another may
 * follow, and gives the caller exactly one outcome. It ends at the caller's
 * deadline or the route's time-out, whichever is first.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  AttemptHistory,
  type AttemptLimits,
} from "@marigoldford/kernel/attempt_history";
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import {
  contentionSlowdown,
  firstAttemptLimitMilliseconds,
  type Placement,
  type PlacementRequest,
} from "@marigoldford/kernel/placement";
import type { QueuedRequest } from "@marigoldford/kernel/request_queue";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { ServerOutcome } from "@marigoldford/kernel/server_load";
import type { ServiceName } from "@marigoldford/kernel/types";
import {
  type Admission,
  admit,
  type Refusal,
  type RefusalCause,
} from "./admission.ts";
import { AnswerWriter, statusOf } from "./answer_writer.ts";
import { headerValue } from "./caller_protocol.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { ExchangeLog, type ExchangeProgress } from "./exchange_log.ts";
import { copyEndToEndHeaders } from "./raw_headers.ts";
import { HedgeTimer } from "./hedge_timer.ts";
import { readBody, type RequestBody } from "./request_body.ts";
import {
  type BufferedAnswer,
  ServerAttempt,
  type StreamedAnswer,
} from "./server_attempt.ts";

/** A second send is a gamble; large answers do not cross for it. */
const MOST_HEDGE_CROSSING_OBJECTIVES = 0.3;
/** A server gets a little less time than what is left, for the way back. */
const WAY_BACK_MILLISECONDS = 2;
/** Callers may come back after this when no server can be named. */
const RETRY_SECONDS = 0.2;
/** Bursts last for seconds; callers that come back sooner add to them. */
const CROWDED_RETRY_SECONDS = 0.5;
/** A request that crashes servers is not wanted back soon. */
const QUARANTINE_RETRY_SECONDS = 30;

/** Why an attempt is made; a hedge runs beside an attempt, a retry after. */
type AttemptReason = "first" | "retry" | "hedge";

export class RequestExchange {
  readonly #context: ExchangeContext;
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #writer: AnswerWriter;
  readonly #log: ExchangeLog;
  readonly #requestId: string;
  readonly #arrivedAtMilliseconds: number;
  readonly #history = new AttemptHistory();
  readonly #running = new Set<ServerAttempt>();
  /** Set once the request is taken; nothing before reads them. */
  #admission!: Admission;
  #body!: RequestBody;
  #hedgeTimer!: HedgeTimer;
  #deadlineAtMilliseconds = Infinity;
  #timer: ReturnType<typeof setTimeout> | undefined;
  /** Time up to the first attempt. */
  #waitedMilliseconds = 0;
  /** What was wrong with the last answer that could not be used. */
  #lastUnusable: string | undefined;
  #ticketInLine: QueuedRequest | undefined;
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
    this.#writer = new AnswerWriter({
      request,
      response,
      mayKeepConnection: context.mayKeepConnections,
    });
    this.#requestId =
      headerValue(request, context.protocol.headers.requestId) ??
        "";
    this.#log = new ExchangeLog(context, this.#requestId);
    this.#arrivedAtMilliseconds = context.clock();
  }

  /** Begins the exchange; `onOver` is called once, at its end. */
  start(onOver: () => void): void {
    this.#response.on("close", () => {
      if (!this.#isOver) this.#onCallerLeft();
      onOver();
    });
    admit(this.#context, this.#request).match(
      (admission) => this.#take(admission),
      (refusal) => this.#refuse(refusal),
    );
  }

  #take(admission: Admission): void {
    this.#admission = admission;
    const { waitMilliseconds, maximumBodyBytes } = admission;
    this.#deadlineAtMilliseconds = this.#arrivedAtMilliseconds +
      waitMilliseconds;
    this.#timer = setTimeout(() => this.#onTimeUp(), waitMilliseconds);
    this.#hedgeTimer = this.#makeHedgeTimer();
    readBody(this.#request, maximumBodyBytes, {
      onBody: (body) => {
        this.#body = body;
        if (!this.#isOver) this.#begin();
      },
      onTooLarge: () => this.#onBodyTooLarge(),
    });
  }

  get #route(): SnapshotRoute {
    return this.#admission.route;
  }

  get #service(): ServiceName {
    return this.#admission.service;
  }

  get #elapsed(): number {
    return this.#context.clock() - this.#arrivedAtMilliseconds;
  }

  get #timeLeft(): number {
    return this.#deadlineAtMilliseconds - this.#context.clock();
  }

  get #workMilliseconds(): number {
    return this.#context.services.estimatesOf(this.#route)
      .serviceTimeMilliseconds;
  }

  get #progress(): ExchangeProgress {
    return {
      attempts: this.#history.attempts,
      elapsedMilliseconds: this.#elapsed,
      waitedMilliseconds: this.#waitedMilliseconds,
    };
  }

  get #limits(): AttemptLimits {
    const { kind, maximumAttempts } = this.#route;
    return {
      kind,
      maximumAttempts,
      isBodyBuffered: this.#body.kind === "whole",
    };
  }

  #onBodyTooLarge(): void {
    if (this.#isOver) return;
    if (this.#writer.hasSentHead) this.#writer.abort();
    else this.#refuse({ status: 413, cause: "body-too-large" });
  }

  #begin(): void {
    if (this.#context.crashDetector.isQuarantined(() => this.#fingerprint())) {
      return this.#refuse({
        status: 503,
        cause: "quarantined",
        retryAfterSeconds: QUARANTINE_RETRY_SECONDS,
      });
    }
    this.#context.services.retryBudgetOf(this.#service).recordRequest();
    const line = this.#context.services.queueOf(this.#service);
    if (line.hasRequestsAhead(this.#ticket("first"))) this.#wait("first");
    else void this.#tryServer("first");
  }

  #placementRequest(why: AttemptReason): PlacementRequest {
    const work = this.#context.services.estimatesOf(this.#route);
    return {
      serviceTimeMilliseconds: work.serviceTimeMilliseconds,
      answerBytes: work.answerBytes,
      objectiveMilliseconds: this.#route.objectiveMilliseconds,
      tried: this.#history.tried,
      maximumCrossDomainCostObjectives: why === "hedge"
        ? MOST_HEDGE_CROSSING_OBJECTIVES
        : Infinity,
      maximumExpectedMilliseconds: why === "first"
        ? firstAttemptLimitMilliseconds(
          this.#route.objectiveMilliseconds - this.#elapsed,
        )
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
    const result = await this.#context.placer.chooseAfterProbing(
      this.#service,
      this.#placementRequest(why),
      () => this.#timeLeft,
    );
    this.#isPlacing = false;
    if (this.#isOver || this.#writer.hasSentHead) return;
    if (result.kind === "placed") return this.#send(result.placement, why);
    if (this.#running.size > 0) return;
    if (result.kind === "none") return this.#endInFailure("no-server");
    this.#wait(why);
  }

  /**
   * Patience is over: with nobody behind it a late answer takes room from none,
   * otherwise the caller is told that there is none.
   */
  #endWait(why: AttemptReason): void {
    const isAlone = this.#context.services.queueOf(this.#service).length === 0;
    const result = this.#context.placer.choose(this.#service, {
      ...this.#placementRequest(why),
      maximumExpectedMilliseconds: isAlone ? this.#timeLeft : 0,
    });
    if (result.kind === "placed") this.#send(result.placement, why);
    else this.#endInFailure("no-room");
  }

  /** Waits in the line of the service until there may be room. */
  #wait(why: AttemptReason): void {
    const ticket = this.#ticket(why);
    const line = this.#context.services.queueOf(this.#service);
    if (!line.isExpectedInTime(ticket)) return this.#endInFailure("no-room");
    this.#ticketInLine = ticket;
    line.add(ticket);
  }

  #ticket(why: AttemptReason): QueuedRequest {
    const { objectiveMilliseconds, priority } = this.#route;
    return {
      priority,
      serviceTimeMilliseconds: this.#workMilliseconds,
      arrivedAtMilliseconds: this.#arrivedAtMilliseconds,
      objectiveAtMilliseconds: this.#arrivedAtMilliseconds +
        objectiveMilliseconds,
      deadlineAtMilliseconds: this.#deadlineAtMilliseconds,
      isCallerRetry: this.#admission.isCallerRetry,
      onDequeued: (turn) => {
        this.#ticketInLine = undefined;
        if (this.#isOver) return;
        if (turn === "try") void this.#tryServer(why);
        else this.#endWait(why);
      },
    };
  }

  #send(placement: Placement, why: AttemptReason): void {
    const { server, candidateCount } = placement;
    const { id } = server.registration;
    const usable = this.#context.servers.find(id);
    if (usable === undefined) return this.#endInFailure("no-server");
    this.#history.recordStart(id);
    if (why === "first") this.#waitedMilliseconds = this.#elapsed;
    const attempt = new ServerAttempt({
      placement,
      connections: usable.connections,
      protocol: this.#context.protocol,
      requestId: this.#requestId,
      method: this.#request.method ?? "GET",
      path: this.#request.url ?? "/",
      headers: this.#forwardedHeaders(id),
      body: this.#body,
      connectTimeoutMilliseconds: this.#context.connectTimeoutMilliseconds,
      clock: this.#context.clock,
      hooks: {
        onAnswerHead: (made, answer) => this.#onHead(made, answer),
        onBufferedAnswer: (made, answer) => this.#onWhole(made, answer),
        onStreamedAnswer: (made, answer) => this.#onStream(made, answer),
        onFailure: (made, evidence) => this.#onFailure(made, evidence),
      },
    });
    server.recordStart(attempt);
    this.#context.onInFlightChange();
    this.#running.add(attempt);
    if (why !== "first") this.#log.attemptStarted(attempt, why, candidateCount);
    if (this.#history.mayHedge(this.#limits)) this.#hedgeTimer.start();
  }

  #forwardedHeaders(serverId: string): string[] {
    const { headers } = this.#context.protocol;
    const replaced = new Set([headers.deadline, headers.expectedServer]);
    const body = this.#body;
    if (body.kind === "whole") replaced.add("content-length");
    const forwarded = copyEndToEndHeaders(this.#request.rawHeaders, replaced);
    const left = Math.max(
      1,
      Math.floor(this.#timeLeft - WAY_BACK_MILLISECONDS),
    );
    forwarded.push(headers.deadline, String(left));
    forwarded.push(headers.expectedServer, serverId);
    const hadLength = this.#request.headers["content-length"] !== undefined;
    if (body.kind === "whole") {
      if (body.bytes.byteLength > 0 || hadLength) {
        forwarded.push("content-length", String(body.bytes.byteLength));
      }
    } else if (!hadLength) {
      forwarded.push("transfer-encoding", "chunked");
    }
    return forwarded;
  }

  #makeHedgeTimer(): HedgeTimer {
    return new HedgeTimer({
      objectiveMilliseconds: this.#route.objectiveMilliseconds,
      workMilliseconds: () => this.#workMilliseconds,
      elapsedMilliseconds: () => this.#elapsed,
      mayHedge: () => this.#isHedgeWanted(),
      probeSlowdown: () => {
        const [first] = this.#running;
        return this.#context.placer.probeSlowdown(first.server);
      },
      sendHedge: () => {
        const isSent = this.#hasOtherServer("hedge") &&
          this.#context.services.retryBudgetOf(this.#service).trySpend();
        if (isSent) void this.#tryServer("hedge");
        return isSent;
      },
    });
  }

  #isHedgeWanted(): boolean {
    return this.#history.mayHedge(this.#limits) && !this.#isOver &&
      !this.#isPlacing && this.#running.size === 1 && !this.#writer.hasSentHead;
  }

  #onHead(attempt: ServerAttempt, answer: IncomingMessage): void {
    const report = this.#context.protocol.readLoad(answer.headers);
    if (report === undefined) return;
    const now = this.#context.clock();
    if (attempt.server.recordReport(report, now)) {
      this.#context.onReport(attempt.server);
    }
  }

  #onWhole(attempt: ServerAttempt, answer: BufferedAnswer): void {
    const status = statusOf(answer.head);
    this.#noteAnswer(attempt, status, answer.body.byteLength);
    if (this.#isOver) return;
    if (status >= 500 && this.#retryAfterServerError()) return;
    this.#finish();
    this.#writer.writeBuffered(answer);
    this.#log.answered(attempt, this.#route, this.#progress);
  }

  /** A server's own error may be mended by another server. */
  #retryAfterServerError(): boolean {
    if (this.#running.size > 0 || this.#isPlacing) return true;
    if (!this.#mayRetry() || this.#timeLeft <= 0) return false;
    if (!this.#hasOtherServer("retry")) return false;
    if (!this.#context.services.retryBudgetOf(this.#service).trySpend()) {
      return false;
    }
    void this.#tryServer("retry");
    return true;
  }

  #onStream(attempt: ServerAttempt, answer: StreamedAnswer): void {
    if (this.#isOver) return attempt.cancel();
    this.#cancelOthers(attempt);
    this.#hedgeTimer.stop();
    this.#writer.writeStreamed(answer, async (bytes) => {
      const isWhole = await attempt.isComplete(answer.head);
      if (this.#isOver || attempt.hasEnded) return;
      if (!isWhole) return attempt.timeOut();
      attempt.completeStream();
      const status = statusOf(answer.head);
      this.#noteAnswer(attempt, status, bytes);
      this.#finish();
      this.#writer.end();
      this.#log.answered(attempt, this.#route, this.#progress);
    });
  }

  #noteAnswer(attempt: ServerAttempt, status: number, bytes: number): void {
    this.#context.crashDetector.recordAnswer(() => this.#fingerprint());
    this.#history.recordEnd({ kind: "answered", status });
    this.#release(attempt, status >= 500 ? "failed" : "answered");
    if (status >= 400) return;
    const { lastReport, slots } = attempt.server;
    const { load } = attempt.placementInputs;
    const took = attempt.timeToHeadMilliseconds ?? attempt.elapsedMilliseconds;
    if (load >= slots) return;
    this.#context.services.estimatesOf(this.#route).addSample({
      serviceTimeMilliseconds: took /
        ((lastReport?.slowdown ?? 1) * contentionSlowdown(load, slots)),
      answerBytes: bytes,
    });
  }

  #onFailure(attempt: ServerAttempt, evidence: AttemptEvidence): void {
    this.#history.recordEnd(evidence);
    this.#release(attempt, this.#verdictOf(attempt, evidence));
    if (evidence.kind === "cancelled") return;
    this.#log.attemptFailed(attempt, evidence);
    if (evidence.kind === "unusable-answer") this.#lastUnusable = evidence.why;
    if (this.#isOver) {
      if (evidence.kind === "broken") void this.#explainBreak(attempt);
      return;
    }
    if (this.#writer.hasSentHead) return this.#cutAnswer(attempt);
    if (evidence.kind === "broken") {
      void this.#explainBreak(attempt).then(() => this.#goOn(evidence));
    } else this.#goOn(evidence);
  }

  #explainBreak({ server }: ServerAttempt): Promise<void> {
    return this.#context.crashDetector.checkForCrash(
      () => this.#fingerprint(),
      server,
    );
  }

  #goOn(evidence: AttemptEvidence): void {
    if (this.#isOver || this.#writer.hasSentHead) return;
    if (this.#running.size > 0 || this.#isPlacing) return;
    if (this.#timeLeft <= 0) return this.#endInFailure("time-out");
    const isFree = evidence.kind === "not-connected";
    const budget = this.#context.services.retryBudgetOf(this.#service);
    if (this.#mayRetry() && (isFree || budget.trySpend())) {
      return void this.#tryServer("retry");
    }
    this.#endInFailure(
      evidence.kind === "refused-by-server"
        ? "servers-refused"
        : "attempt-broken",
    );
  }

  #mayRetry(): boolean {
    return !this.#context.crashDetector.isQuarantined(() =>
      this.#fingerprint()
    ) &&
      this.#history.mayRetry(this.#limits, this.#writer.hasSentHead);
  }

  /** Tells requests apart that are the same but for their ids. */
  #fingerprint(): string {
    const { method = "", url = "", headers } = this.#request;
    const body = this.#body?.kind === "whole"
      ? this.#body.bytes.toString("latin1")
      : "";
    return `${method} ${headers.host} ${url} ${body}`;
  }

  #verdictOf(attempt: ServerAttempt, evidence: AttemptEvidence): ServerOutcome {
    switch (evidence.kind) {
      case "refused-by-server":
        return evidence.status === 503 || evidence.status === 429
          ? "refused"
          : "failed";
      case "cancelled":
        return "inconclusive";
      case "timed-out":
        return attempt.elapsedMilliseconds >
            this.#route.objectiveMilliseconds
          ? "silent"
          : "inconclusive";
      default:
        return "failed";
    }
  }

  #release(attempt: ServerAttempt, verdict: ServerOutcome): void {
    this.#running.delete(attempt);
    attempt.server.recordEnd(attempt, verdict, this.#context.clock());
    this.#context.onInFlightChange();
    this.#context.services.queueOf(this.#service).recordRequestEnd();
  }

  /** The answer had begun and cannot be completed. */
  #cutAnswer(attempt: ServerAttempt): void {
    this.#finish();
    this.#log.answerCut(attempt, this.#progress);
    this.#writer.abort();
  }

  #onTimeUp(): void {
    if (this.#isOver) return;
    for (const attempt of [...this.#running]) attempt.timeOut();
    if (!this.#isOver) this.#endInFailure("time-out");
  }

  #onCallerLeft(): void {
    this.#finish();
    this.#log.callerLeft(this.#progress);
  }

  #cancelOthers(kept: ServerAttempt | undefined): void {
    for (const attempt of [...this.#running]) {
      if (attempt !== kept) attempt.cancel();
    }
  }

  /** Marks the exchange as decided and ends what still runs for it. */
  #finish(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#hedgeTimer?.stop();
    if (this.#ticketInLine !== undefined) {
      this.#context.services.queueOf(this.#service).remove(this.#ticketInLine);
    }
    this.#cancelOthers(undefined);
  }

  /** Tells the caller what is known when no answer can be delivered. */
  #endInFailure(cause: RefusalCause): void {
    switch (this.#history.outcome(this.#timeLeft <= 0)) {
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

  #refuse(refusal: Refusal): void {
    this.#finish();
    const { status, cause, retryAfterSeconds } = refusal;
    const headers: string[] = [];
    if (retryAfterSeconds !== undefined) {
      headers.push("Retry-After", String(retryAfterSeconds));
    }
    if (this.#requestId !== "") {
      headers.push(this.#context.protocol.headers.requestId, this.#requestId);
    }
    const reason = this.#lastUnusable === undefined
      ? cause
      : `${cause}: ${this.#lastUnusable}`;
    this.#writer.writeLocalAnswer(status, headers, reason);
    this.#log.refused(
      { route: this.#admission?.route, ...refusal },
      reason,
      this.#progress,
      this.#admission?.service,
    );
  }
}
