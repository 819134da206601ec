/**
 * `marigoldford explain route`: where an entry would send a request now.
 */
import { HttpClient } from "@marigoldford/client/http_client";
import { splitAddress } from "@marigoldford/kernel/address";
import type {
  CandidateExplanation,
  RouteDecision,
  RouteExplanation,
  RouteUnknown,
  ServiceExplanation,
} from "@marigoldford/kernel/route_explanation";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

export type ExplainRouteQuery = {
  /** Metrics address of an entry. */
  readonly entry: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Whether all candidates are listed. */
  readonly isComplete: boolean;
};

const TIMEOUT_MILLISECONDS = 2_000;
const LISTED_CANDIDATES = 20;
const HIGHEST_PORT = 65_535;
const ADDRESS = /^(\[[0-9a-f:]+\]|[\w.-]+):\d{1,5}$/i;

/** Prints the explanation; fails if the entry would refuse the request. */
export async function runExplainRoute(
  query: ExplainRouteQuery,
  output: Output,
): Promise<ExitCode> {
  const { entry, path } = query;
  if (!ADDRESS.test(entry) || splitAddress(entry).port > HIGHEST_PORT) {
    output.message(
      `Given --entry "${entry}"; expected one address such as ` +
        "127.0.0.1:9100; give the metrics address of a running entry",
    );
    return EXIT_CODES.usage;
  }
  if (!path.startsWith("/")) {
    output.message(
      `Given path "${path}"; expected one that begins with /; ` +
        "give the path of the request without scheme and host",
    );
    return EXIT_CODES.usage;
  }
  const httpClient = new HttpClient();
  const answer = await httpClient.send(entry, {
    method: "GET",
    path: pagePath(query),
    headers: {},
    body: undefined,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  httpClient.close();
  if (answer.isErr()) {
    output.message(
      `Entry ${entry} does not answer: ${answer.error.detail}; ` +
        "give the metrics address of a running entry with --entry",
    );
    return EXIT_CODES.unreachable;
  }
  const page = parsePage(answer.value.body.toString());
  if (page === undefined) {
    output.message(
      `${entry} answered ${answer.value.status} without an explanation; ` +
        "expected the page /explain; give the metrics address of an entry " +
        "of this build with --entry",
    );
    return EXIT_CODES.unreachable;
  }
  return "error" in page
    ? printUnknown(page, query, output)
    : printExplanation(page, query, output);
}

function pagePath({ method, host, path }: ExplainRouteQuery): string {
  return `/explain?${new URLSearchParams({ host, path, method })}`;
}

/** Undefined if the text is not an answer of the page. */
function parsePage(text: string): RouteExplanation | RouteUnknown | undefined {
  try {
    const page = JSON.parse(text);
    return Array.isArray(page?.services) || typeof page?.error === "string"
      ? page
      : undefined;
  } catch {
    return undefined;
  }
}

function printUnknown(
  unknown: RouteUnknown,
  query: ExplainRouteQuery,
  output: Output,
): ExitCode {
  output.message(describeUnknown(unknown, query));
  output.result(unknown, () => knownText(unknown));
  return unknown.error === "no-configuration"
    ? EXIT_CODES.unreachable
    : EXIT_CODES.failure;
}

function describeUnknown(
  { error, given, expected }: RouteUnknown,
  { host }: ExplainRouteQuery,
): string {
  switch (error) {
    case "unknown-host":
      return `Host "${given}" is unknown; expected ${expected}; ` +
        "give one of those listed with --host";
    case "unknown-path":
      return `Path "${given}" matches no route of host "${host}"; ` +
        `expected ${expected}; give a path under one of those listed`;
    case "no-configuration":
      return `Entry "${given}" has no configuration yet; ` +
        `expected ${expected}; try again, or ask another entry`;
    default:
      return `Given "${given}"; expected ${expected}; correct the path`;
  }
}

function knownText({ error, known, knownCount }: RouteUnknown): string {
  const what = error === "unknown-path" ? "prefixes of the host" : "hosts";
  const omitted = knownCount - known.length;
  return [
    `known ${what}: ${knownCount}`,
    ...known.map((name) => `  ${name}`),
    ...(omitted > 0 ? [`  and ${omitted} more`] : []),
  ].join("\n");
}

function printExplanation(
  explanation: RouteExplanation,
  { isComplete }: ExplainRouteQuery,
  output: Output,
): ExitCode {
  output.result(explanation, () => explanationText(explanation, isComplete));
  const isAnyRefused = explanation.services.some(({ decision }) =>
    decision.kind === "refuse"
  );
  return isAnyRefused ? EXIT_CODES.failure : EXIT_CODES.ok;
}

function explanationText(
  explanation: RouteExplanation,
  isComplete: boolean,
): string {
  const { route, entry, method, host, path, services } = explanation;
  const isSplit = services.length > 1;
  return [
    ...services.map((service) =>
      (isSplit ? `${percent(service.share)} to ${service.service}: ` : "") +
      decisionText(service)
    ),
    `${method} ${host}${path} at ${entry}: route ${route.name} ` +
    `(${route.host}${route.pathPrefix}, ${route.kind}, objective ` +
    `${route.objectiveMilliseconds} ms, timeout ` +
    `${route.timeoutMilliseconds} ms), configuration ` +
    `${explanation.configurationVersion}`,
    ...(explanation.waitsForDiscovery
      ? ["Waits first until the discovery service confirms the known state."]
      : []),
    ...services.flatMap((service) => serviceLines(service, isComplete)),
  ].join("\n");
}

function percent(share: number): string {
  return `${Math.round(share * 100)} %`;
}

function decisionText({ decision, candidates }: ServiceExplanation): string {
  switch (decision.kind) {
    case "send":
      return `Sent to ${decision.server}, expected to answer in ` +
        milliseconds(decision.expectedMilliseconds) +
        othersText(decision.server, candidates);
    case "pass-on":
      return "Passed on to a peer, as this entry does not reach the servers";
    case "queue":
      return `Queued at the entry: ${CAUSE_TEXTS[decision.cause]}`;
    case "refuse":
      return `Refused with 503, not run: ${CAUSE_TEXTS[decision.cause]}` +
        waitText(decision);
  }
}

function othersText(
  selected: string,
  candidates: readonly CandidateExplanation[],
): string {
  const others =
    candidates.filter(({ verdict, server }) =>
      verdict === "selectable" && server !== selected
    ).length;
  return others === 0
    ? ""
    : `; ${others} with nearly the same score may be selected instead`;
}

type Cause = Extract<RouteDecision, { readonly cause: string }>["cause"];

const CAUSE_TEXTS: Readonly<Record<Cause, string>> = {
  "requests-ahead": "other requests are queued ahead",
  "full": "each server is at its concurrency limit",
  "late": "no server is expected to answer within the objective",
  "unknown": "servers without a recent report are probably full",
  "held-back": "every server leaves, pauses or has used up its request limit",
  "starting": "the entry is starting",
  "leaving": "the entry is leaving",
  "no-server": "the service has no server",
  "no-room": "it would wait too long in the queue (no-room)",
};

function waitText(decision: RouteDecision): string {
  if (decision.kind !== "refuse" || decision.cause !== "held-back") return "";
  const wait = decision.heldBackMilliseconds;
  return typeof wait === "number"
    ? `; the first may get a request in ${milliseconds(wait)}`
    : "; none says when it may get a request again";
}

function serviceLines(
  service: ServiceExplanation,
  isComplete: boolean,
): string[] {
  const { queue, probeFirst, candidates } = service;
  const listed = isComplete
    ? candidates
    : candidates.slice(0, LISTED_CANDIDATES);
  const omitted = candidates.length - listed.length;
  return [
    `service ${service.service}: ${queue.length} requests queued, ` +
    `${queue.ahead} ahead; ${candidates.length} servers`,
    ...(probeFirst === undefined ? [] : [
      `A load probe of ${probeFirst.server} comes first and may change this ` +
      `(report: ${ageText(probeFirst.reportAgeMilliseconds)}).`,
    ]),
    ...(listed.length === 0 ? [] : tableLines([COLUMNS, ...listed.map(row)])),
    ...(omitted > 0 ? [`and ${omitted} more; list them with --all`] : []),
  ];
}

const COLUMNS = [
  "server",
  "domain",
  "verdict",
  "load/limit/slots",
  "assumed load",
  "slowdown",
  "report age",
  "expected",
  "score",
  "restrictions",
];

function row(candidate: CandidateExplanation): string[] {
  const { load, assumedLoad, concurrencyLimit, slots, reportedSlowdown } =
    candidate;
  const { verdict, heldBackMilliseconds: wait } = candidate;
  return [
    candidate.server,
    candidate.failureDomain,
    verdict === "held-back" && typeof wait === "number"
      ? `${verdict} ${milliseconds(wait)}`
      : verdict,
    `${load ?? "-"}/${concurrencyLimit ?? "-"}/${slots}`,
    assumedLoad?.toFixed(1) ?? "-",
    reportedSlowdown?.toFixed(2) ?? "-",
    ageText(candidate.reportAgeMilliseconds),
    milliseconds(candidate.expectedMilliseconds),
    milliseconds(candidate.score),
    candidate.restrictions.join(",") || "-",
  ];
}

function ageText(age: number | null | undefined): string {
  return typeof age === "number" ? milliseconds(age) : "none";
}

function milliseconds(value: number | undefined): string {
  return value === undefined ? "-" : `${Math.round(value)} ms`;
}

function tableLines(rows: readonly (readonly string[])[]): string[] {
  const widths = COLUMNS.map((_, column) =>
    Math.max(...rows.map((cells) => cells[column].length))
  );
  return rows.map((cells) =>
    "  " +
    cells.map((cell, column) => cell.padEnd(widths[column])).join("  ")
      .trimEnd()
  );
}
