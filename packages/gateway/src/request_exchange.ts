/**
 * Handles one caller request, from its head to the last byte of the answer.
 *
 * The exchange starts attempts at backend servers, decides from their results
 * whether a retry or a hedge may follow, and sends the caller exactly one
 * answer. It ends at the caller's deadline or the route's timeout, whichever
 * comes first.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  AttemptHistory,
  type AttemptLimits,
} from "@marigoldford/kernel/attempt_history";
import type { AttemptEvidence } from "@marigoldford/kernel/attempt_outcome";
import {
  contentionSlowdown,
  type Placement,
  type PlacementRequest,
} from "@marigoldford/kernel/placement";
import {
  type AttemptReason,
  placementGoal,
} from "@marigoldford/kernel/placement_goal";
import {
  isPastMaximumWait,
  type QueuedRequest,
} from "@marigoldford/kernel/request_queue";
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
import {
  answeringServerHeaders,
  readAnsweringServer,
} from "./answering_server.ts";
import { headerValue } from "./caller_protocol.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { ExchangeLog, type ExchangeProgress } from "./exchange_log.ts";
import {
  causeOf,
  evidenceOfPeer,
  isServerSilent,
  retryAfterSeconds,
  serverOutcomeOf,
  silenceMilliseconds,
} from "./failure.ts";
import { forwardedHeaders } from "./forwarded_headers.ts";
import { HedgeTimer } from "./hedge_timer.ts";
import { readBody, type RequestBody } from "./callers/request_body.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { ServerConnections } from "./server_connections.ts";
import {
  type BufferedAnswer,
  ServerAttempt,
  type StreamedAnswer,
} from "./server_attempt.ts";

/**
 * Maximum cost of moving a hedge's answer from another failure domain. A hedge
 * may be wasted, so large answers are not moved for it.
 */
const MAXIMUM_HEDGE_CROSS_DOMAIN_COST_OBJECTIVES = 0.3;
/** Two received blocks, on their way from the caller to the server. */
const STREAMED_BODY_BYTES = 128 * 1_024;
/** A request that crashes backend servers should not be retried soon. */
const QUARANTINE_RETRY_AFTER_SECONDS = 30;

export class RequestExchange {
  readonly #context: ExchangeContext;
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #writer: AnswerWriter;
  readonly #log: ExchangeLog;
  readonly #requestId: string;
  readonly #arrivedAtMilliseconds: number;
  readonly #history = new AttemptHistory();
  readonly #runningAttempts = new Set<ServerAttempt>();
  /** Set once the request is admitted; the body once it has been read. */
  #admission!: Admission;
  #body!: RequestBody;
  #releaseBody: () => void = () => {};
  #hedgeTimer!: HedgeTimer;
  #deadlineAtMilliseconds = Infinity;
  #deadlineTimer: ReturnType<typeof setTimeout> | undefined;
  #isDeadlinePassed = false;
  /** Time from arrival to the first attempt. */
  #waitedMilliseconds = 0;
  /** Why the last unusable answer was rejected. */
  #lastUnusableReason: string | undefined;
  #queuedRequest: QueuedRequest | undefined;
  #hasWaited = false;
  /** Whether the request was queued for as long as it may be. */
  #hasWaitedMaximum = false;
  #isPlacing = false;
  #hasFailedToConnect = false;
  /** Whether a peer may have used up the attempts of the request. */
  #isForwardSpent = false;
  #hasEnded = false;

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
      addedHeaders: context.origin === "peer"
        ? answeringServerHeaders
        : () => [],
    });
    this.#requestId =
      headerValue(request, context.protocol.headers.requestId) ?? "";
    this.#log = new ExchangeLog(context, this.#requestId);
    this.#arrivedAtMilliseconds = context.clock();
  }

  /**
   * Starts the exchange; `onEnd` is called once, when the response is closed.
   */
  start(onEnd: () => void): void {
    this.#response.on("close", () => {
      if (!this.#hasEnded) this.#onCallerDisconnected();
      onEnd();
    });
    const { discovery, isReady } = this.#context;
    if (discovery.isUsable || !isReady()) this.#admit();
    else void discovery.whenUsable().then(() => this.#admit());
  }

  #admit(): void {
    if (this.#hasEnded) return;
    admit(this.#context, this.#request).match(
      (admission) => this.#onAdmitted(admission),
      (refusal) => this.#refuse(refusal),
    );
  }

  #onAdmitted(admission: Admission): void {
    this.#admission = admission;
    const { timeLimitMilliseconds, maximumBodyBytes } = admission;
    this.#deadlineAtMilliseconds = this.#arrivedAtMilliseconds +
      timeLimitMilliseconds;
    this.#deadlineTimer = setTimeout(
      () => this.#onDeadline(),
      timeLimitMilliseconds - this.#elapsedMilliseconds,
    );
    this.#hedgeTimer = this.#makeHedgeTimer();
    this.#releaseBody = readBody(this.#request, maximumBodyBytes, {
      onBody: (body) => {
        this.#body = body;
        if (body.kind === "stream") {
          this.#context.guard.extend(this.#response, STREAMED_BODY_BYTES);
        }
        if (!this.#hasEnded) this.#onBody();
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

  get #elapsedMilliseconds(): number {
    return this.#context.clock() - this.#arrivedAtMilliseconds;
  }

  /** Nothing is left once the deadline timer has fired, which may be early. */
  get #remainingMilliseconds(): number {
    if (this.#isDeadlinePassed) return 0;
    return this.#deadlineAtMilliseconds - this.#context.clock();
  }

  /** The objective counts from the first try of the caller. */
  get #objectiveAtMilliseconds(): number {
    return this.#arrivedAtMilliseconds - this.#admission.callerAgeMilliseconds +
      this.#route.objectiveMilliseconds;
  }

  get #serviceTimeMilliseconds(): number {
    return this.#context.services.estimatesOf(this.#route)
      .serviceTimeMilliseconds;
  }

  get #progress(): ExchangeProgress {
    return {
      attempts: this.#history.attempts,
      elapsedMilliseconds: this.#elapsedMilliseconds,
      waitedMilliseconds: this.#waitedMilliseconds,
    };
  }

  get #limits(): AttemptLimits {
    const { maximumAttempts } = this.#admission;
    return {
      kind: this.#route.kind,
      maximumAttempts,
      isBodyBuffered: this.#body.kind === "buffered",
    };
  }

  #onBodyTooLarge(): void {
    if (this.#hasEnded) return;
    if (this.#writer.hasSentHead) this.#writer.abort();
    else this.#refuse({ status: 413, cause: "body-too-large" });
  }

  #onBody(): void {
    const { crashDetector } = this.#context;
    const judged = crashDetector.whenJudged(() => this.#fingerprint());
    if (judged === undefined) this.#onJudged();
    else void judged.then(() => this.#onJudged());
  }

  #onJudged(): void {
    if (this.#hasEnded) return;
    if (this.#context.crashDetector.isQuarantined(() => this.#fingerprint())) {
      return this.#refuse({
        status: 503,
        cause: "quarantined",
        retryAfterSeconds: QUARANTINE_RETRY_AFTER_SECONDS,
      });
    }
    // The entry that passed the request on has counted it.
    if (this.#context.origin === "caller") {
      this.#context.services.retryBudgetOf(this.#service).recordRequest();
    }
    const queue = this.#context.services.queueOf(this.#service);
    const isForwarded =
      this.#context.forwarder.reachOf(this.#service) === "cut";
    if (
      !isForwarded && queue.hasRequestsAhead(this.#makeQueuedRequest("first"))
    ) {
      this.#enqueue("first");
    } else void this.#startAttempt("first");
  }

  #placementRequest(reason: AttemptReason): PlacementRequest {
    const estimates = this.#context.services.estimatesOf(this.#route);
    return {
      serviceTimeMilliseconds: estimates.serviceTimeMilliseconds,
      answerBytes: estimates.answerBytes,
      objectiveMilliseconds: this.#route.objectiveMilliseconds,
      tried: this.#history.tried,
      maximumCrossDomainCostObjectives: reason === "hedge"
        ? MAXIMUM_HEDGE_CROSS_DOMAIN_COST_OBJECTIVES
        : Infinity,
      ...placementGoal({
        reason,
        serviceTimeMilliseconds: estimates.serviceTimeMilliseconds,
        remainingObjectiveMilliseconds: this.#objectiveAtMilliseconds -
          this.#context.clock(),
        remainingMilliseconds: this.#remainingMilliseconds,
        hasWaited: this.#hasWaited,
        hasWaitedMaximum: this.#hasWaitedMaximum,
      }),
    };
  }

  #hasOtherServer(reason: AttemptReason): boolean {
    const result = this.#context.placer.choose(
      this.#service,
      this.#placementRequest(reason),
      "optimistic",
    );
    return result.kind === "placed";
  }

  /**
   * Selects a backend server and sends an attempt, unless it is no longer
   * needed.
   */
  async #startAttempt(reason: AttemptReason): Promise<void> {
    this.#isPlacing = true;
    const { discovery } = this.#context;
    if (!discovery.isUsable) await discovery.whenUsable();
    if (this.#passOn(reason)) {
      this.#isPlacing = false;
      return;
    }
    const result = await this.#context.placer.chooseAfterProbing(
      this.#service,
      this.#placementRequest(reason),
      {
        remainingMilliseconds: () => this.#remainingMilliseconds,
        hasWaited: this.#hasWaited,
        mayQueue: reason === "first" && !this.#hasWaitedMaximum,
      },
    );
    this.#isPlacing = false;
    this.#context.metrics.recordPlacement(result.kind);
    if (this.#hasEnded || this.#writer.hasSentHead) return;
    if (result.kind === "placed") {
      return this.#sendAttempt(result.placement, reason);
    }
    if (this.#runningAttempts.size > 0) return;
    if (result.kind === "none") return this.#fail("no-server");
    if (this.#hasWaitedMaximum) return this.#fail("no-room");
    if (result.kind === "held-back") {
      return this.#onHeldBack(result.milliseconds, reason);
    }
    this.#enqueue(reason);
  }

  /**
   * Passes the request on to a peer if this entry does not reach the servers;
   * returns whether the attempt is settled. Without such a peer a request is
   * refused once a connection has failed, and at once if it comes from a peer,
   * so that none is passed on twice.
   */
  #passOn(reason: AttemptReason): boolean {
    const { forwarder, origin } = this.#context;
    const reach = forwarder.reachOf(this.#service);
    const isNeeded = reach === "cut" ||
      reach === "no-new-connections" && this.#hasFailedToConnect;
    if (!isNeeded || this.#hasEnded || this.#writer.hasSentHead) return false;
    const peer = origin === "peer"
      ? undefined
      : forwarder.choose(this.#service, this.#history.tried);
    if (peer === undefined) {
      const isHopeless = reach === "cut" && this.#runningAttempts.size === 0 &&
        (origin === "peer" || this.#hasFailedToConnect);
      if (isHopeless) this.#fail("no-server");
      return isHopeless;
    }
    this.#launch(peer.placement, peer.connections, reason, true);
    return true;
  }

  /**
   * Queues the request if a server may get one within its maximum wait;
   * otherwise refuses it at once.
   */
  #onHeldBack(milliseconds: number, reason: AttemptReason): void {
    const allowedAt = this.#context.clock() + milliseconds;
    if (isPastMaximumWait(this.#makeQueuedRequest(reason), allowedAt)) {
      return this.#fail("held-back", milliseconds);
    }
    this.#enqueue(reason);
  }

  /**
   * Handles a request that the queue has shed. If no other is queued, serving
   * it late delays none, so it is sent if an answer is expected before its
   * deadline; otherwise it is refused.
   */
  #onShed(reason: AttemptReason): void {
    const isAlone = this.#context.services.queueOf(this.#service).length === 0;
    if (!isAlone || this.#hasWaitedMaximum) return this.#fail("no-room");
    this.#hasWaitedMaximum = true;
    this.#context.metrics.incrementCounter("requests_waited_maximum");
    void this.#startAttempt(reason);
  }

  /**
   * Queues the request until a backend server of the service may have capacity.
   */
  #enqueue(reason: AttemptReason): void {
    const queuedRequest = this.#makeQueuedRequest(reason);
    const queue = this.#context.services.queueOf(this.#service);
    if (!queue.isExpectedInTime(queuedRequest)) {
      return this.#hasWaited ? this.#onShed(reason) : this.#fail("no-room");
    }
    this.#queuedRequest = queuedRequest;
    this.#hasWaited = true;
    queue.add(queuedRequest);
  }

  #makeQueuedRequest(reason: AttemptReason): QueuedRequest {
    const { objectiveMilliseconds, priority } = this.#route;
    return {
      priority,
      serviceTimeMilliseconds: this.#serviceTimeMilliseconds,
      arrivedAtMilliseconds: this.#arrivedAtMilliseconds,
      objectiveMilliseconds,
      objectiveAtMilliseconds: this.#objectiveAtMilliseconds,
      deadlineAtMilliseconds: this.#deadlineAtMilliseconds,
      isCallerRetry: this.#admission.callerAgeMilliseconds > 0,
      onDequeued: (decision) => {
        this.#queuedRequest = undefined;
        if (this.#hasEnded) return;
        const isCut = this.#context.forwarder.reachOf(this.#service) === "cut";
        if (decision === "try" || isCut) void this.#startAttempt(reason);
        else this.#onShed(reason);
      },
    };
  }

  #sendAttempt(placement: Placement, reason: AttemptReason): void {
    const { server } = placement;
    const { id } = server.registration;
    const known = this.#context.servers.find(id);
    // It may be gone, or another request has used up the permission.
    if (!known || !this.#context.placer.trySpend(server)) {
      return void this.#startAttempt(reason);
    }
    this.#launch(placement, known.connections, reason, false);
  }

  #launch(
    placement: Placement,
    connections: ServerConnections,
    reason: AttemptReason,
    isForward: boolean,
  ): void {
    const { server, candidateCount } = placement;
    const { id } = server.registration;
    this.#history.recordStart(id);
    if (reason === "first") {
      this.#waitedMilliseconds = this.#elapsedMilliseconds;
    }
    const attempt = new ServerAttempt({
      placement,
      isForward,
      connections,
      protocol: this.#context.protocol,
      requestId: this.#requestId,
      method: this.#request.method ?? "GET",
      path: this.#request.url ?? "/",
      headers: this.#forwardedHeaders(isForward ? undefined : id),
      body: this.#body,
      connectTimeoutMilliseconds: this.#context.connectTimeoutMilliseconds,
      silenceMilliseconds: silenceMilliseconds(this.#route, this.#admission),
      clock: this.#context.clock,
      hooks: {
        onConnection: () => {
          if (!isForward) this.#context.reach.recordConnection(this.#service);
        },
        onAnswerHead: (attempt, answer) => this.#onAnswerHead(attempt, answer),
        onStatement: (_, { headers, statusCode: status = 0 }, kind) => {
          const { statements } = this.#context;
          const run = isForward
            ? readAnsweringServer(headers)
            : server.registration;
          const carrier = isForward ? "answer-to-peer" : kind;
          if (run === undefined) return;
          statements.recordAnswer(run, { status, headers }, carrier);
        },
        onBufferedAnswer: (attempt, answer) =>
          this.#onBufferedAnswer(attempt, answer),
        onStreamedAnswer: (attempt, answer) =>
          this.#onStreamedAnswer(attempt, answer),
        onSilence: (attempt) => {
          if (isServerSilent(attempt)) void this.#checkForCrash(attempt);
        },
        onFailure: (attempt, evidence) => this.#onFailure(attempt, evidence),
      },
    });
    server.recordStart(attempt);
    this.#context.metrics.recordAttempt(attempt.placementInputs);
    this.#context.onInFlightChange();
    this.#runningAttempts.add(attempt);
    if (isForward) {
      this.#context.metrics.incrementCounter("requests_passed_on");
    }
    if (reason !== "first" || isForward) {
      this.#log.attemptStarted(attempt, reason, candidateCount);
    }
    if (isForward) this.#hedgeTimer.stop();
    else if (this.#history.mayHedge(this.#limits)) this.#hedgeTimer.start();
  }

  /** Headers for a server, or for a peer if `serverId` is undefined. */
  #forwardedHeaders(serverId: string | undefined): string[] {
    const { maximumAttempts } = this.#limits;
    return forwardedHeaders({
      request: this.#request,
      body: this.#body,
      names: this.#context.protocol.headers,
      remainingMilliseconds: this.#remainingMilliseconds,
      serverId,
      attemptsLeft: maximumAttempts - this.#history.serversReached,
    });
  }

  #makeHedgeTimer(): HedgeTimer {
    return new HedgeTimer({
      objectiveMilliseconds: this.#route.objectiveMilliseconds,
      serviceTimeMilliseconds: () => this.#serviceTimeMilliseconds,
      elapsedMilliseconds: () => this.#elapsedMilliseconds,
      mayHedge: () => this.#mayHedge(),
      probeFirstServer: async () => {
        const [{ slowdownAtStart, server }] = this.#runningAttempts;
        const current = await this.#context.placer.probeSlowdown(server);
        return current === undefined
          ? undefined
          : { atStart: slowdownAtStart, current };
      },
      sendHedge: () => {
        const isSent = this.#hasOtherServer("hedge") &&
          this.#context.services.retryBudgetOf(this.#service).trySpend();
        if (isSent) void this.#startAttempt("hedge");
        return isSent;
      },
    });
  }

  #mayHedge(): boolean {
    return this.#history.mayHedge(this.#limits) && !this.#hasEnded &&
      !this.#isPlacing && this.#runningAttempts.size === 1 &&
      !this.#writer.hasSentHead;
  }

  #onAnswerHead(attempt: ServerAttempt, answer: IncomingMessage): void {
    if (attempt.isForward) return;
    this.#context.reach.recordAnswer(this.#service);
    const { headers: names, readLoad } = this.#context.protocol;
    const isRefusal = answer.headers[names.notExecuted] !== undefined;
    const report = readLoad(answer.headers, isRefusal ? "probe" : "answer");
    if (report === undefined) return;
    const now = this.#context.clock();
    if (attempt.server.recordReport(report, now)) {
      this.#context.onReport(attempt.server);
    }
  }

  #onBufferedAnswer(attempt: ServerAttempt, answer: BufferedAnswer): void {
    const status = statusOf(answer.head);
    this.#recordAnswer(attempt, status, answer.body.byteLength);
    if (this.#hasEnded) return;
    if (status >= 500 && this.#retryAfterServerError()) return;
    this.#end();
    this.#writer.writeBuffered(answer, attempt.server.registration);
    this.#log.answered(attempt, this.#route, this.#progress);
  }

  /**
   * Whether another attempt may still replace a 5xx answer; starts one if none
   * runs.
   */
  #retryAfterServerError(): boolean {
    if (this.#runningAttempts.size > 0 || this.#isPlacing) return true;
    if (
      this.#isForwardSpent || !this.#mayRetry() ||
      this.#remainingMilliseconds <= 0
    ) return false;
    if (!this.#hasOtherServer("retry")) return false;
    if (!this.#context.services.retryBudgetOf(this.#service).trySpend()) {
      return false;
    }
    void this.#startAttempt("retry");
    return true;
  }

  #onStreamedAnswer(attempt: ServerAttempt, answer: StreamedAnswer): void {
    if (this.#hasEnded) return attempt.cancel();
    if (!this.#writer.canStream(answer)) {
      return this.#refuse({ status: 505, cause: "answer-without-length" });
    }
    this.#cancelAttemptsExcept(attempt);
    this.#hedgeTimer.stop();
    const { registration } = attempt.server;
    this.#writer.writeStreamed(answer, registration, async (bytes) => {
      const isComplete = await attempt.isComplete(answer.head);
      if (this.#hasEnded || attempt.hasEnded) return;
      if (!isComplete) return attempt.timeOut();
      attempt.completeStream();
      const status = statusOf(answer.head);
      this.#recordAnswer(attempt, status, bytes);
      this.#end();
      this.#writer.end();
      this.#log.answered(attempt, this.#route, this.#progress);
    });
  }

  #recordAnswer(attempt: ServerAttempt, status: number, bytes: number): void {
    this.#context.crashDetector.recordAnswer(() => this.#fingerprint());
    this.#history.recordEnd({ kind: "answered", status });
    this.#releaseServer(attempt, status >= 500 ? "failed" : "answered");
    if (attempt.isForward) this.#isForwardSpent = true;
    if (status >= 400 || attempt.isForward) return;
    const { lastReport, slots } = attempt.server;
    const { load } = attempt.placementInputs;
    const answerMilliseconds = attempt.timeToHeadMilliseconds ??
      attempt.elapsedMilliseconds;
    const slowdown = lastReport === undefined ? 1 : attempt.slowdownAtStart;
    if (load >= slots || slowdown === undefined) return;
    this.#context.services.estimatesOf(this.#route).addSample({
      serviceTimeMilliseconds: answerMilliseconds /
        (slowdown * contentionSlowdown(load, slots)),
      answerBytes: bytes,
    });
  }

  #onFailure(attempt: ServerAttempt, failure: AttemptEvidence): void {
    const evidence = attempt.isForward ? evidenceOfPeer(failure) : failure;
    this.#recordReach(attempt, evidence);
    this.#history.recordEnd(evidence);
    this.#releaseServer(
      attempt,
      serverOutcomeOf(evidence, attempt, this.#route),
    );
    if (evidence.kind === "cancelled") return;
    this.#log.attemptFailed(attempt, evidence);
    if (evidence.kind === "unusable-answer") {
      this.#lastUnusableReason = evidence.why;
    }
    if (!this.#hasEnded && this.#writer.hasSentHead) {
      return this.#abortAnswer(attempt);
    }
    const judged = evidence.kind === "broken" && !attempt.isForward
      ? this.#checkForCrash(attempt)
      : undefined;
    if (this.#hasEnded) return;
    if (judged === undefined) this.#retryOrFail(evidence);
    else void judged.then(() => this.#retryOrFail(evidence));
  }

  /** Records what a failed attempt says of the way to the servers. */
  #recordReach(
    { isForward, server, hasUnusedConnection }: ServerAttempt,
    { kind }: AttemptEvidence,
  ): void {
    const hasNotRun = kind === "not-connected" || kind === "refused-by-peer";
    if (isForward) this.#isForwardSpent ||= !hasNotRun;
    else if (
      kind === "not-connected" || kind === "broken" && hasUnusedConnection
    ) {
      this.#hasFailedToConnect = true;
      const { id } = server.registration;
      this.#context.reach.recordFailure(this.#service, id, "connection");
    }
  }

  #checkForCrash(attempt: ServerAttempt): Promise<void> {
    return this.#context.crashDetector.checkForCrash(
      () => this.#fingerprint(),
      attempt,
    );
  }

  #retryOrFail(evidence: AttemptEvidence): void {
    if (this.#hasEnded || this.#writer.hasSentHead) return;
    if (this.#runningAttempts.size > 0 || this.#isPlacing) return;
    if (this.#remainingMilliseconds <= 0) return this.#fail("time-out");
    const isRetryFree = evidence.kind === "not-connected" ||
      evidence.kind === "refused-by-peer";
    const budget = this.#context.services.retryBudgetOf(this.#service);
    if (this.#mayRetry() && (isRetryFree || budget.trySpend())) {
      return void this.#startAttempt("retry");
    }
    this.#fail(causeOf(evidence));
  }

  #mayRetry(): boolean {
    return !this.#isForwardSpent &&
      !this.#context.crashDetector.isQuarantined(() => this.#fingerprint()) &&
      this.#history.mayRetry(this.#limits, this.#writer.hasSentHead);
  }

  /** Equal for requests that differ only in their request ids. */
  #fingerprint(): string {
    return fingerprintOf(this.#request, this.#body);
  }

  #releaseServer(attempt: ServerAttempt, outcome: ServerOutcome): void {
    this.#runningAttempts.delete(attempt);
    attempt.server.recordEnd(attempt, outcome, this.#context.clock());
    this.#context.onInFlightChange();
    this.#context.services.queueOf(this.#service).recordRequestEnd();
    if (attempt.isForward || outcome !== "answered") return;
    this.#context.offerSlot(attempt.server);
  }

  /** Aborts an answer that has started and cannot be completed. */
  #abortAnswer(attempt: ServerAttempt): void {
    this.#end();
    this.#log.answerCut(attempt, this.#progress);
    this.#writer.abort();
  }

  #onDeadline(): void {
    if (this.#hasEnded) return;
    this.#isDeadlinePassed = true;
    for (const attempt of [...this.#runningAttempts]) attempt.timeOut();
    if (!this.#hasEnded) this.#fail("time-out");
  }

  #onCallerDisconnected(): void {
    this.#end();
    this.#log.callerLeft(this.#progress);
  }

  #cancelAttemptsExcept(kept: ServerAttempt | undefined): void {
    for (const attempt of [...this.#runningAttempts]) {
      if (attempt !== kept) attempt.cancel();
    }
  }

  /** Marks the exchange as ended and cancels its timers and attempts. */
  #end(): void {
    this.#hasEnded = true;
    clearTimeout(this.#deadlineTimer);
    this.#hedgeTimer?.stop();
    this.#releaseBody();
    if (this.#queuedRequest !== undefined) {
      this.#context.services.queueOf(this.#service).remove(this.#queuedRequest);
    }
    this.#cancelAttemptsExcept(undefined);
  }

  /**
   * Ends without an answer and tells the caller whether the request may have
   * run.
   */
  #fail(cause: RefusalCause, heldBackMilliseconds?: number): void {
    switch (this.#history.outcome(this.#remainingMilliseconds <= 0)) {
      case "not-run":
        return this.#refuse({
          status: 503,
          cause,
          retryAfterSeconds: retryAfterSeconds(cause, heldBackMilliseconds),
        });
      case "unknown-timed-out":
        return this.#refuse({ status: 504, cause });
      case "unknown-broken":
        return this.#refuse({ status: 502, cause });
    }
  }

  #refuse(refusal: Refusal): void {
    this.#end();
    const { status, cause, retryAfterSeconds } = refusal;
    const headers: string[] = [];
    if (retryAfterSeconds !== undefined) {
      headers.push("Retry-After", String(retryAfterSeconds));
    }
    const { origin, protocol } = this.#context;
    if (this.#requestId !== "") {
      headers.push(protocol.headers.requestId, this.#requestId);
    }
    if (origin === "peer" && this.#history.outcome(false) === "not-run") {
      headers.push(protocol.headers.notExecuted, "1");
    }
    const reason = this.#lastUnusableReason === undefined
      ? cause
      : `${cause}: ${this.#lastUnusableReason}`;
    this.#writer.writeLocalAnswer(status, headers, reason);
    this.#log.refused(
      { route: this.#admission?.route, ...refusal },
      reason,
      this.#progress,
      this.#admission?.service,
    );
  }
}
