/**
 * Decides by its head whether a request can be taken, and for which route.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { SnapshotRoute } from "@marigoldford/kernel/routing_snapshot";
import type { ServiceName } from "@marigoldford/kernel/types";
import { headerValue } from "./caller_protocol.ts";
import type { ExchangeContext } from "./exchange_context.ts";

export type RefusalCause =
  | "starting"
  | "leaving"
  | "no-route"
  | "no-request-id"
  | "head-too-large"
  | "body-too-large"
  | "no-server"
  | "no-room"
  | "servers-refused"
  | "quarantined"
  | "attempt-broken"
  | "time-out";

/** The entry's own answer, where no answer of a server can be given. */
export type Refusal = {
  readonly status: number;
  readonly cause: RefusalCause;
  readonly retryAfterSeconds?: number;
  /** The route, where it is known. */
  readonly route?: SnapshotRoute;
};

/** A request that is taken. */
export type Admission = {
  readonly route: SnapshotRoute;
  readonly service: ServiceName;
  /** Time from its arrival to the end of the exchange. */
  readonly waitMilliseconds: number;
  /** Whether the caller was refused before and has come back. */
  readonly isCallerRetry: boolean;
  readonly maximumBodyBytes: number;
};

const STARTING_RETRY_SECONDS = 0.5;

export function admit(
  context: ExchangeContext,
  request: IncomingMessage,
): Result<Admission, Refusal> {
  const { router, protocol } = context;
  if (router.snapshot === undefined || !context.isReady()) {
    return err({
      status: 503,
      cause: "starting",
      retryAfterSeconds: STARTING_RETRY_SECONDS,
    });
  }
  const { maximumHeaderBytes, maximumBodyBytes } = router.snapshot.limits;
  if (headBytes(request) > maximumHeaderBytes) {
    return err({ status: 431, cause: "head-too-large" });
  }
  const { host = "" } = request.headers;
  const route = router.match(host, request.url ?? "/");
  if (route === undefined) return err({ status: 404, cause: "no-route" });
  const id = headerValue(request, protocol.headers.requestId) ?? "";
  if (id === "") return err({ status: 400, cause: "no-request-id", route });
  if (!context.isAccepting()) {
    return err({ status: 503, cause: "leaving", retryAfterSeconds: 0, route });
  }
  if (Number(request.headers["content-length"]) > maximumBodyBytes) {
    return err({ status: 413, cause: "body-too-large", route });
  }
  const waitMilliseconds = waitOf(context, request, route);
  return ok({
    route,
    service: router.nextService(route),
    waitMilliseconds,
    isCallerRetry: context.services.estimatesOf(route).recordCallerTimeout(
      waitMilliseconds,
    ),
    maximumBodyBytes,
  });
}

/** The caller's deadline or the route's time-out, whichever is first. */
function waitOf(
  { protocol }: ExchangeContext,
  request: IncomingMessage,
  { timeoutMilliseconds }: SnapshotRoute,
): number {
  const text = headerValue(request, protocol.headers.deadline);
  const deadline = Number(text ?? NaN);
  return Number.isFinite(deadline) && deadline >= 0
    ? Math.min(deadline, timeoutMilliseconds)
    : timeoutMilliseconds;
}

/** Bytes of names and values; separators are left out. */
function headBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
