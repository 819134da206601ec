/**
 * The events that an entry writes to its log, with their fields.
 */
import type { EventFields, EventLog } from "@marigoldford/logger/event_log";
import type { Reach } from "@marigoldford/kernel/server_reach";
import type { RequestLimit } from "@marigoldford/kernel/server_restrictions";
import type { PlacementInputs } from "./server_attempt.ts";

/** By which way an entry learns what a server says of itself. */
export type StatementSource = "answer" | "health-check" | "peer";

export type GatewayEvent =
  | { event: "start"; entry: string; incarnation: string; domain: string }
  | {
    event: "ready";
    version: number;
    servers: number;
    afterMilliseconds: number;
  }
  | { event: "stop-requested"; inProgress: number }
  /** Written when all connections of callers are closed. */
  | { event: "stop"; requestsCut: number; reason: string }
  | { event: "reload"; outcome: string }
  | { event: "uncaught-exception"; detail: string }
  | {
    event: "configuration-adopted";
    version: number;
    from: string;
    routes: number;
  }
  | {
    event: "server-changed";
    server: string;
    service?: string;
    change: string;
    from: string;
    revision?: number;
  }
  | {
    event: "evacuation-started" | "evacuation-ended";
    domain: string;
    from: string;
    revision: number;
  }
  | {
    event: "request-limit";
    server: string;
    requestLimit: RequestLimit;
    from: string;
  }
  | {
    event: "server-leaving";
    server: string;
    /** Who said it: the server in an answer or health check, or a peer. */
    from: StatementSource;
    /** Time since the server said it first. */
    ageMilliseconds: number;
  }
  /** The server says in a health check that it is cold, for this time. */
  | { event: "server-cold"; server: string; milliseconds: number }
  /** The server wants no request of this entry for this time. */
  | { event: "server-pause"; server: string; milliseconds: number }
  | { event: "server-statement-refused"; server: string; detail: string }
  | { event: "entry-changed"; entry: string; change: string; state: string }
  | {
    event: "discovery-lost" | "discovery-regained";
    reason: string;
    ageMilliseconds: number;
    revision: number;
  }
  | {
    event: "watch-started" | "watch-stopped";
    reason: string;
    revision: number;
  }
  | {
    /** Written before the changes are applied. */
    event: "changes-received";
    /** Incarnation of the entry that sent them. */
    from: string;
    baseRevision: number;
    revision: number;
    ownRevision: number;
    /** Age of the state of this entry. */
    ownAgeMilliseconds: number;
    /** Age of the changes when they were sent, and on arrival. */
    sentAgeMilliseconds: number;
    ageMilliseconds: number;
  }
  | { event: "history-reread"; reason: string; revision: number }
  | {
    event: "discovery-era-changed";
    /** Whether the discovery service or a peer told of it first. */
    from: "service" | "peer";
    era: number;
    previousEra: number;
    revision: number;
    previousRevision: number;
    /** Age of the state that the change of era replaces. */
    ageMilliseconds: number;
  }
  | { event: "discovery-era-refused"; detail: string }
  | {
    event: "servers-reach-changed";
    service: string;
    reach: Reach;
    servers: number;
  }
  | { event: "pause-noticed"; milliseconds: number }
  | (PlacementInputs & {
    event: "attempt-started";
    request: string;
    server: string;
    why: string;
    candidates: number;
  })
  | (PlacementInputs & {
    event: "attempt-failed";
    request: string;
    server: string;
    evidence: string;
    detail?: string;
    /** Requests at the server as it says in its refusal. */
    reportedLoad?: number;
    elapsedMilliseconds: number;
  })
  | {
    event: "request-refused" | "request-failed";
    request: string;
    route?: string;
    status: number;
    reason: string;
    attempts: number;
    elapsedMilliseconds: number;
    configurationVersion: number;
    /** Known backend servers of the service, and requests queued for them. */
    servers: number;
    waiting: number;
    retryAfterSeconds?: number;
  }
  | {
    event: "answer-cut";
    request: string;
    server: string;
    elapsedMilliseconds: number;
  }
  | {
    event: "caller-left";
    request: string;
    attempts: number;
    elapsedMilliseconds: number;
  }
  | (PlacementInputs & {
    event: "request-late";
    request: string;
    server: string;
    attempts: number;
    elapsedMilliseconds: number;
    /** Time from arrival to the first attempt. */
    waitedMilliseconds: number;
    objectiveMilliseconds: number;
  })
  | {
    event: "traffic";
    answered: number;
    late: number;
    refused: number;
    failed: number;
  }
  | {
    event: "crash-suspected";
    fingerprint: string;
    server: string;
    from: string;
  }
  /** An answer to the request has shown that it crashes no servers. */
  | { event: "crash-suspicion-cleared"; fingerprint: string; crashes: number }
  | {
    /** Whether a server is down, after the connection of a request broke. */
    event: "server-judged";
    server: string;
    isDown: boolean;
    /** What the peers found that were asked. */
    findings: string;
    elapsedMilliseconds: number;
  }
  | {
    event: "discovery-item-refused" | "discovery-item-assumed";
    key: string;
    revision?: number;
    detail: string;
  }
  | { event: "peer-message-refused"; peer: string; detail: string }
  | {
    event: "caller-limited";
    action: "request-refused" | "connection-closed";
    reason: string;
    server?: string;
    /** Estimated memory of requests in progress and unread answers. */
    heldBytes: number;
  };

export type WriteEvent = (event: GatewayEvent) => void;

/** Returns a typed writer to the log. */
export function makeEventWriter(log: EventLog): WriteEvent {
  return ({ event, ...fields }) => log.write(event, fields as EventFields);
}
