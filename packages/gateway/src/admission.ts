/**
 * Decides from the head of a request whether to admit it, and finds its route.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { ServiceName } from "@marigoldford/kernel/types";
import { headerValue } from "./caller_protocol.ts";
import type { ExchangeContext } from "./exchange_context.ts";

/** Header of a request between entries: servers that it may still reach. */
export const ATTEMPTS_LEFT_HEADER = "marigoldford-attempts-left";

export type RefusalCause =
  | "starting"
  | "leaving"
  | "no-route"
  | "path-malformed"
  | "no-request-id"
  | "head-too-large"
  | "body-too-large"
  | "no-server"
  | "no-room"
  | "held-back"
  | "servers-refused"
  | "peers-refused"
  | "quarantined"
  | "attempt-broken"
  | "answer-without-length"
  | "time-out";

/** Answer of the entry itself, if none of a backend server can be forwarded. */
export type Refusal = {
  readonly status: number;
  readonly cause: RefusalCause;
  readonly retryAfterSeconds?: number;
  /** Missing if the request was refused before its route was found. */
  readonly route?: SnapshotRoute;
};

/** How an admitted request is handled. */
export type Admission = {
  readonly route: SnapshotRoute;
  readonly service: ServiceName;
  /** Maximum time from arrival to the end of the exchange. */
  readonly timeLimitMilliseconds: number;
  /**
   * Time since the caller's first try, if it seems to retry after a refusal;
   * otherwise 0.
   */
  readonly callerAgeMilliseconds: number;
  readonly maximumBodyBytes: number;
  /** Servers that the request may reach, less those that a peer has used. */
  readonly maximumAttempts: number;
};

const STARTING_RETRY_AFTER_SECONDS = 0.5;
/** Characters that Node's parser accepts in a path, but its client rejects. */
const MALFORMED_PATH = /[^\u0021-\u00ff]/;
/** Longer deadlines say nothing more about what is usual. */
const MAXIMUM_DEADLINE_TIMEOUTS = 10;
const POSITIVE_COUNT = /^[1-9]\d{0,5}$/;
const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;

export function admit(
  context: ExchangeContext,
  request: IncomingMessage,
): Result<Admission, Refusal> {
  const { router, protocol } = context;
  if (router.snapshot === undefined || !context.isReady()) {
    return err({
      status: 503,
      cause: "starting",
      retryAfterSeconds: STARTING_RETRY_AFTER_SECONDS,
    });
  }
  const { maximumHeaderBytes, maximumBodyBytes } = router.snapshot.limits;
  // The headers that a peer adds may exceed the limit, which it has checked.
  const isCaller = context.origin === "caller";
  if (isCaller && headBytes(request) > maximumHeaderBytes) {
    return err({ status: 431, cause: "head-too-large" });
  }
  if (MALFORMED_PATH.test(request.url ?? "/")) {
    return err({ status: 400, cause: "path-malformed" });
  }
  const { host = "" } = request.headers;
  const route = router.match(host, request.url ?? "/");
  if (route === undefined) return err({ status: 404, cause: "no-route" });
  const id = headerValue(request, protocol.headers.requestId) ?? "";
  if (id === "") return err({ status: 400, cause: "no-request-id", route });
  const timeLimitMilliseconds = timeLimitOf(context, request, route);
  const { objectiveMilliseconds } = route;
  if (!context.isAccepting({ timeLimitMilliseconds, objectiveMilliseconds })) {
    return err({ status: 503, cause: "leaving", retryAfterSeconds: 0, route });
  }
  if (Number(request.headers["content-length"]) > maximumBodyBytes) {
    return err({ status: 413, cause: "body-too-large", route });
  }
  return ok({
    route,
    service: router.nextService(route),
    timeLimitMilliseconds,
    callerAgeMilliseconds: callerAgeOf(context, request, route),
    maximumBodyBytes,
    maximumAttempts: maximumAttemptsOf(context, request, route),
  });
}

/** A peer says how many attempts it has left; a caller has none of its own. */
function maximumAttemptsOf(
  { origin }: ExchangeContext,
  request: IncomingMessage,
  { maximumAttempts }: SnapshotRoute,
): number {
  const text = headerValue(request, ATTEMPTS_LEFT_HEADER) ?? "";
  if (origin === "caller" || !POSITIVE_COUNT.test(text)) return maximumAttempts;
  return Math.min(maximumAttempts, Number(text));
}

/** The route's timeout says nothing about the time that a caller has left. */
function callerAgeOf(
  context: ExchangeContext,
  request: IncomingMessage,
  route: SnapshotRoute,
): number {
  const deadline = callerDeadlineOf(context, request);
  if (deadline === undefined) return 0;
  return context.services.estimatesOf(route).recordCallerTimeout(
    Math.min(deadline, MAXIMUM_DEADLINE_TIMEOUTS * route.timeoutMilliseconds),
  );
}

/** Time that the caller waits; undefined if it names no number. */
function callerDeadlineOf(
  { protocol }: ExchangeContext,
  request: IncomingMessage,
): number | undefined {
  const text = headerValue(request, protocol.headers.deadline) ?? "";
  return DECIMAL_NUMBER.test(text) ? Number(text) : undefined;
}

/** The shorter of the caller's deadline and the route's timeout. */
function timeLimitOf(
  context: ExchangeContext,
  request: IncomingMessage,
  { timeoutMilliseconds }: SnapshotRoute,
): number {
  return Math.min(
    callerDeadlineOf(context, request) ?? Infinity,
    timeoutMilliseconds,
  );
}

/** Size of the path and of all header names and values, without separators. */
function headBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
