/**
 * Readers of the discovery state that another entry sends, which may be of
 * another build.
 */
import { err, ok, Result } from "neverthrow";
import type { DiscoveryChange } from "./discovery_state.ts";
import type { ToldEvacuation } from "./evacuations.ts";
import {
  type JsonObject,
  malformed,
  readArray,
  readBoolean,
  readInteger,
  readObject,
  readOneOf,
  type ValueMalformed,
} from "./field_readers.ts";
import {
  readAddress,
  readAmount,
  readId,
  readMilliseconds,
  readName,
  readOptional,
  readPath,
  readPathPrefix,
  readSequence,
  readSlots,
  readUnixMilliseconds,
} from "./foreign_fields.ts";
import type {
  RequestLimits,
  RouteKind,
  RoutingSnapshot,
  ServerRegistration,
  SnapshotRoute,
  SnapshotService,
  WeightedService,
} from "./routing_snapshot.ts";
import type { SnapshotDifference } from "./snapshot_difference.ts";

const STATES: readonly ServerRegistration["state"][] = ["ready", "draining"];
const ROUTE_KINDS: readonly RouteKind[] = [
  "idempotent",
  "at-most-once",
  "download",
];
const REASONS = ["removed", "unreadable", "lost"] as const;
const CHANGE_KINDS = [
  "snapshot",
  "registration",
  "gone",
  "evacuation",
] as const;

type Read<Value> = Result<Value, ValueMalformed>;

/**
 * Reads a change. A registration that cannot be used takes its server out of
 * use, if its id and revision can be read; `onIgnored` is told why.
 */
export function readChange(
  value: unknown,
  onIgnored: (error: ValueMalformed) => void,
): Read<DiscoveryChange> {
  return readObject(value, "change").andThen((change) =>
    readOneOf(change.kind, "kind", CHANGE_KINDS).andThen(
      (kind): Read<DiscoveryChange> => {
        if (kind === "snapshot") {
          return readSnapshot(change.snapshot).map((snapshot) => ({
            kind,
            snapshot,
          }));
        }
        if (kind === "evacuation") {
          return readEvacuation(change).map((told) => ({ ...told, kind }));
        }
        return readInteger(change.revision, "revision").andThen((revision) =>
          kind === "gone"
            ? readRemoval(change.id, change.reason, revision)
            : readRegistrationChange(change, revision, onIgnored)
        );
      },
    )
  );
}

/** Reads an evacuation that a peer tells, in a change or beside its members. */
export function readEvacuation(value: unknown): Read<ToldEvacuation> {
  return readObject(value, "evacuation").andThen((fields) =>
    Result.combine([
      readOptional(fields, "era", readInteger),
      readInteger(fields.revision, "revision"),
      readName(fields.failureDomain, "failureDomain"),
      readBoolean(fields.isEvacuated, "isEvacuated"),
      readOptional(fields, "graceMilliseconds", readMilliseconds),
    ])
  ).map(([era, revision, failureDomain, isEvacuated, grace]) => ({
    ...era,
    revision,
    failureDomain,
    isEvacuated,
    ...grace,
  }));
}

function readRemoval(
  id: unknown,
  reason: unknown,
  revision: number,
): Read<DiscoveryChange> {
  return Result.combine([
    readId(id, "id"),
    readOneOf(reason, "reason", REASONS),
  ]).map(([id, reason]) => ({ kind: "gone", id, revision, reason }));
}

function readRegistrationChange(
  change: JsonObject,
  revision: number,
  onIgnored: (error: ValueMalformed) => void,
): Read<DiscoveryChange> {
  return Result.combine([
    readRegistration(change.registration),
    readOptional(change, "graceMilliseconds", readMilliseconds),
    readOptional(change, "withheldMilliseconds", readMilliseconds),
  ])
    .map(([registration, grace, withheld]): DiscoveryChange => ({
      kind: "registration",
      revision,
      registration,
      ...grace,
      ...withheld,
    }))
    .orElse((error) => {
      const id = readObject(change.registration, "registration").andThen((
        { id },
      ) => readId(id, "id"));
      if (id.isErr()) return err(error);
      onIgnored(error);
      return ok<DiscoveryChange, ValueMalformed>({
        kind: "gone",
        id: id.value,
        revision,
        reason: "unreadable",
      });
    });
}

function readRegistration(value: unknown): Read<ServerRegistration> {
  return readObject(value, "registration").andThen((fields) =>
    Result.combine([
      readId(fields.id, "id"),
      readName(fields.service, "service"),
      readAddress(fields.address, "address"),
      readName(fields.failureDomain, "failureDomain"),
      readSlots(fields.slots, "slots"),
      readOneOf(fields.state, "state", STATES),
      readMilliseconds(fields.warmUpLeftMilliseconds, "warmUpLeft"),
      readUnixMilliseconds(fields.bornAtMilliseconds, "bornAt"),
      readSequence(fields.sequence, "sequence"),
    ])
  ).map(
    ([id, service, address, domain, slots, state, warmUp, born, sequence]) => ({
      id,
      service,
      address,
      failureDomain: domain,
      slots,
      state,
      warmUpLeftMilliseconds: warmUp,
      bornAtMilliseconds: born,
      sequence,
    }),
  );
}

export function readSnapshotDifference(
  value: unknown,
  path: string,
): Read<SnapshotDifference> {
  return readObject(value, path).andThen((fields) =>
    Result.combine([
      readList(
        fields.baseVersions,
        "baseVersions",
        (version) => readInteger(version, "baseVersion"),
      ),
      readInteger(fields.version, "version"),
      readList(fields.routes, "routes", readRoute),
      readList(
        fields.removedRoutes,
        "removedRoutes",
        (name) => readName(name, "name"),
      ),
      readList(fields.services, "services", readService),
      readLimits(fields.limits),
    ])
  ).map(([baseVersions, version, routes, removedRoutes, services, limits]) => ({
    baseVersions,
    version,
    routes,
    removedRoutes,
    services,
    limits,
  }));
}

function readSnapshot(value: unknown): Read<RoutingSnapshot> {
  return readObject(value, "snapshot").andThen((fields) =>
    Result.combine([
      readInteger(fields.version, "version"),
      readList(fields.routes, "routes", readRoute),
      readList(fields.services, "services", readService),
      readLimits(fields.limits),
    ])
  ).map(([version, routes, services, limits]) => ({
    version,
    routes,
    services,
    limits,
  }));
}

function readList<Item>(
  value: unknown,
  path: string,
  readItem: (item: unknown) => Read<Item>,
): Read<Item[]> {
  return readArray(value, path).andThen((items) =>
    Result.combine(items.map(readItem))
  );
}

function readRoute(value: unknown): Read<SnapshotRoute> {
  return readObject(value, "route").andThen((fields) =>
    Result.combine([
      readName(fields.name, "name"),
      readName(fields.host, "host"),
      readPathPrefix(fields.pathPrefix, "pathPrefix"),
      readOneOf(fields.kind, "kind", ROUTE_KINDS),
      readMilliseconds(fields.timeoutMilliseconds, "timeout"),
      readMilliseconds(fields.objectiveMilliseconds, "objective"),
      readAmount(fields.priority, "priority"),
      readInteger(fields.maximumAttempts, "maximumAttempts", { minimum: 1 }),
      readWeightedServices(fields.services),
    ])
  ).map(
    (
      [name, host, prefix, kind, timeout, objective, priority, attempts, parts],
    ) => ({
      name,
      host,
      pathPrefix: prefix,
      kind,
      timeoutMilliseconds: timeout,
      objectiveMilliseconds: objective,
      priority,
      maximumAttempts: attempts,
      services: parts,
    }),
  );
}

function readWeightedServices(value: unknown): Read<WeightedService[]> {
  return readList(
    value,
    "services",
    (item) =>
      readObject(item, "service").andThen((fields) =>
        Result.combine([
          readName(fields.service, "service"),
          readAmount(fields.weight, "weight"),
        ]).map(([service, weight]) => ({ service, weight }))
      ),
  ).andThen((services) =>
    services.length > 0
      ? ok(services)
      : malformed("services", services, "services")
  );
}

function readService(value: unknown): Read<SnapshotService> {
  return readObject(value, "service").andThen((fields) =>
    Result.combine([
      readName(fields.name, "name"),
      readPath(fields.healthPath, "healthPath"),
      readAmount(fields.maximumConnections, "maximumConnections"),
      readOptional(fields, "warmUpRequestsPerSecond", readAmount),
    ]).map(([name, healthPath, maximumConnections, warmUpRate]) => ({
      name,
      healthPath,
      maximumConnections,
      ...warmUpRate,
    }))
  );
}

function readLimits(value: unknown): Read<RequestLimits> {
  return readObject(value, "limits").andThen((fields) =>
    Result.combine([
      readAmount(fields.maximumHeaderBytes, "maximumHeaderBytes"),
      readAmount(fields.maximumBodyBytes, "maximumBodyBytes"),
      readMilliseconds(fields.headerTimeoutMilliseconds, "headerTimeout"),
      readMilliseconds(fields.idleTimeoutMilliseconds, "idleTimeout"),
    ]).map(([headerBytes, bodyBytes, headerTimeout, idleTimeout]) => ({
      maximumHeaderBytes: headerBytes,
      maximumBodyBytes: bodyBytes,
      headerTimeoutMilliseconds: headerTimeout,
      idleTimeoutMilliseconds: idleTimeout,
    }))
  );
}
