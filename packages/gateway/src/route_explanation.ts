/**
 * Explains where an entry would send a request now, for the page `/explain`.
 *
 * Nothing is sent, probed or recorded: the rotation of a split route does not
 * turn, so each of its services is explained; the reach of the servers is read
 * without telling peers; queues and estimates that do not exist yet are not
 * made. Reading drops expired counts and refills request limits up to now, as
 * any placement does, which changes no later decision.
 *
 * The request is taken for a first attempt that has just arrived, with the
 * timeout of the route as its deadline. Routes do not depend on the method.
 * Whether a request is quarantined depends on its headers and body, and is not
 * considered.
 */
import { err, ok, type Result } from "neverthrow";
import type { PlacementRequest } from "@marigoldford/kernel/placement";
import {
  type ExplainedCandidate,
  explainPlacement,
  type PlacementExplanation,
} from "@marigoldford/kernel/placement_explanation";
import { placementGoal } from "@marigoldford/kernel/placement_goal";
import {
  isPastMaximumWait,
  type QueuedRequest,
} from "@marigoldford/kernel/request_queue";
import {
  type CandidateExplanation,
  decide,
  describeUnknown,
  finiteOrNull,
  type RouteExplanation,
  type RouteUnknown,
  type ServiceExplanation,
} from "@marigoldford/kernel/route_explanation";
import type {
  SnapshotRoute,
  WeightedService,
} from "@marigoldford/kernel/routing_snapshot";
import type { ServerLoad } from "@marigoldford/kernel/server_load";
import type { FailureDomain, ServiceName } from "@marigoldford/kernel/types";
import type { DiscoverySynchronizer } from "./discovery_synchronizer.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import type { GatewayOptions } from "./options.ts";
import type { TextAnswer } from "./text_server.ts";

export type RouteQuery = {
  readonly method: string;
  readonly host: string;
  readonly path: string;
};

export type ExplainRoute = (
  query: RouteQuery,
) => Result<RouteExplanation, RouteUnknown>;

type EntryParts = Pick<
  ExchangeContext,
  | "clock"
  | "isAccepting"
  | "isReady"
  | "placer"
  | "reach"
  | "router"
  | "servers"
  | "services"
>;

type Discovery = Pick<DiscoverySynchronizer, "isUsable" | "state">;

type ServiceInputs = {
  readonly context: EntryParts;
  readonly discovery: Discovery;
  readonly route: SnapshotRoute;
  readonly service: ServiceName;
  readonly isEvacuated: IsEvacuated;
};

export type IsEvacuated = (failureDomain: FailureDomain) => boolean;

/** Answers the page `/explain?host=HOST&path=PATH&method=METHOD`. */
export function explanationAnswer(
  explainRoute: ExplainRoute,
  parameters: URLSearchParams,
): TextAnswer {
  const explained = explainRoute({
    method: parameters.get("method") ?? "GET",
    host: parameters.get("host") ?? "",
    path: parameters.get("path") ?? "",
  });
  const contentType = "application/json";
  return explained.match(
    (value) => ({ status: 200, contentType, text: JSON.stringify(value) }),
    (error) => ({
      status: STATUS_OF_ERROR[error.error],
      contentType,
      text: JSON.stringify(error),
    }),
  );
}

const STATUS_OF_ERROR: Readonly<Record<RouteUnknown["error"], number>> = {
  "invalid-path": 400,
  "no-configuration": 503,
  "unknown-host": 404,
  "unknown-path": 404,
};

export function makeRouteExplainer(
  context: EntryParts,
  discovery: Discovery,
  { instance: { name: entry } }: Pick<GatewayOptions, "instance">,
  isEvacuated: IsEvacuated = (domain) => discovery.state.isEvacuated(domain),
): ExplainRoute {
  return (query) => {
    const { host, path } = query;
    const { snapshot } = context.router;
    if (!path.startsWith("/")) {
      return err(fault("invalid-path", path, "a path that begins with /"));
    }
    if (snapshot === undefined) {
      const expected = "an entry that has received a configuration";
      return err(fault("no-configuration", entry, expected));
    }
    const route = context.router.match(host, path);
    if (route === undefined) return err(describeUnknown(snapshot, host, path));
    const { services, ...routeFields } = route;
    return ok({
      entry,
      ...query,
      configurationVersion: snapshot.version,
      route: routeFields,
      waitsForDiscovery: !discovery.isUsable,
      services: services.map((weighted) => {
        const { service } = weighted;
        const inputs = { context, discovery, route, service, isEvacuated };
        return { ...shareOf(weighted, route), ...explainService(inputs) };
      }),
    });
  };
}

function fault(
  error: RouteUnknown["error"],
  given: string,
  expected: string,
): RouteUnknown {
  return { error, given, expected, known: [], knownCount: 0 };
}

function shareOf({ weight }: WeightedService, { services }: SnapshotRoute) {
  const total = services.reduce((sum, other) => sum + other.weight, 0);
  return { weight, share: total === 0 ? 0 : weight / total };
}

function explainService(
  inputs: ServiceInputs,
): Omit<ServiceExplanation, "weight" | "share"> {
  const { context, route, service } = inputs;
  const { clock, reach } = context;
  const servers = context.servers.ofService(service);
  const queued = queuedRequest(inputs);
  const queue = context.services.findQueue(service);
  const ahead = queue?.countAhead(queued) ?? 0;
  const { placement, probed } = explainChoice(servers, inputs);
  const decision = decide({
    isStarting: !context.isReady(),
    isLeaving: !context.isAccepting({
      timeLimitMilliseconds: route.timeoutMilliseconds,
      objectiveMilliseconds: route.objectiveMilliseconds,
    }),
    isCut: reach.of(service, servers.length) === "cut",
    hasRequestsAhead: ahead > 0,
    isExpectedInTime: queue?.isExpectedInTime(queued) ?? true,
    mayWait: (milliseconds) =>
      !isPastMaximumWait(queued, clock() + milliseconds),
    result: placement.result,
  });
  const isProbeNext = probed !== undefined && ahead === 0 &&
    (decision.kind === "send" || decision.kind === "queue" ||
      decision.kind === "refuse" && decision.cause === "no-room");
  return {
    service,
    decision,
    ...(isProbeNext
      ? {
        probeFirst: {
          server: probed.registration.id,
          reportAgeMilliseconds: reportAgeOf(probed, clock()),
        },
      }
      : {}),
    queue: { length: queue?.length ?? 0, ahead },
    candidates: [
      ...placement.candidates.map((candidate) =>
        describeCandidate(candidate, inputs)
      ),
      ...unusedServers(inputs),
    ],
  };
}

/**
 * Explains the choice as `Placer.chooseAfterProbing` begins it: a server with a
 * fresh report is selected by the estimate that finds the servers to probe;
 * otherwise that server is probed, and the known reports decide without it.
 */
function explainChoice(
  servers: readonly ServerLoad[],
  { context: { placer, services }, route, service }: ServiceInputs,
): { placement: PlacementExplanation; probed?: ServerLoad } {
  const estimates = services.peekEstimatesOf(route);
  const request: PlacementRequest = {
    serviceTimeMilliseconds: estimates.serviceTimeMilliseconds,
    answerBytes: estimates.answerBytes,
    objectiveMilliseconds: route.objectiveMilliseconds,
    tried: new Set(),
    maximumCrossDomainCostObjectives: Infinity,
    ...placementGoal({
      reason: "first",
      serviceTimeMilliseconds: estimates.serviceTimeMilliseconds,
      remainingObjectiveMilliseconds: route.objectiveMilliseconds,
      remainingMilliseconds: route.timeoutMilliseconds,
      hasWaited: false,
      hasWaitedMaximum: false,
    }),
  };
  const explain = (staleEstimate: "optimistic" | "mean") =>
    explainPlacement(
      servers,
      request,
      placer.contextOf(service, staleEstimate),
    );
  const optimistic = explain("optimistic");
  if (optimistic.result.kind !== "placed") {
    return { placement: explain("mean") };
  }
  const { server } = optimistic.result.placement;
  if (placer.isFresh(server)) return { placement: optimistic };
  return { placement: explain("mean"), probed: server };
}

function queuedRequest({ context, route }: ServiceInputs): QueuedRequest {
  const now = context.clock();
  const estimates = context.services.peekEstimatesOf(route);
  return {
    priority: route.priority,
    serviceTimeMilliseconds: estimates.serviceTimeMilliseconds,
    arrivedAtMilliseconds: now,
    objectiveMilliseconds: route.objectiveMilliseconds,
    objectiveAtMilliseconds: now + route.objectiveMilliseconds,
    deadlineAtMilliseconds: now + route.timeoutMilliseconds,
    isCallerRetry: false,
    onDequeued: () => {},
  };
}

function describeCandidate(
  candidate: ExplainedCandidate,
  { context, isEvacuated }: ServiceInputs,
): CandidateExplanation {
  const { server, verdict, restrictions, load, concurrencyLimit } = candidate;
  const { id, address, failureDomain, slots } = server.registration;
  return {
    server: id,
    address,
    failureDomain,
    verdict,
    restrictions: isEvacuated(failureDomain)
      ? [...restrictions, "evacuated"]
      : restrictions,
    slots,
    load,
    assumedLoad: candidate.assumedLoad,
    concurrencyLimit,
    reportAgeMilliseconds: reportAgeOf(server, context.clock()),
    reportedSlowdown: server.lastReport?.slowdown ?? null,
    expectedMilliseconds: candidate.expectedMilliseconds,
    score: candidate.score,
    heldBackMilliseconds: finiteOrNull(candidate.heldBackMilliseconds),
  };
}

/** Registered servers of the service that the entry sends nothing. */
function unusedServers(
  { context, discovery, service, isEvacuated }: ServiceInputs,
): CandidateExplanation[] {
  const { records } = discovery.state;
  return [...records.values()]
    .map(({ registration }) => registration)
    .filter((registration) =>
      registration.service === service &&
      context.servers.find(registration.id) === undefined
    )
    .map(({ id, address, failureDomain, slots, state }) => ({
      server: id,
      address,
      failureDomain,
      verdict: "not-used" as const,
      restrictions: [
        ...(state === "draining" ? ["draining" as const] : []),
        ...(isEvacuated(failureDomain) ? ["evacuated" as const] : []),
      ],
      slots,
    }));
}

function reportAgeOf(server: ServerLoad, now: number): number | null {
  return finiteOrNull(server.reportAgeMilliseconds(now));
}
