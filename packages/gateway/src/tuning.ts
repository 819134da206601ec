/**
 * Figures of the gateway that no setting changes.
 */

/**
 * Tuning that does not depend on where the gateway runs. Figures without
 * another source were weighed in measured rounds; see docs/design/platform.md.
 */
export const TUNING = {
  /** A packet lost on the way in would be sent again after a second. */
  connectTimeoutMilliseconds: 250,
  connections: {
    /** Backend servers are seen to keep idle connections for ten seconds. */
    idleMilliseconds: 4_000,
    /** More than any share of a server's connections; its slots bound the use. */
    maximumSockets: 64,
  },
  /** Two ways of a millisecond, and the higher price of bytes of two sites. */
  crossDomainCost: { roundTripMilliseconds: 3, objectivesPerMegabyte: 25 },
  probe: {
    /** Three missed questions eject a dead server in about a second. */
    maximumReportAgeMilliseconds: 400,
    timeoutMilliseconds: 400,
    /** Several round trips between failure domains. */
    maximumWaitMilliseconds: 12,
  },
  /** Part of the budget for health checks that is used. */
  probeBudgetShare: 0.7,
  /** Shorter intervals took a third of the processor time. */
  load: {
    sameDomainIntervalMilliseconds: 40,
    crossDomainIntervalMilliseconds: 200,
  },
  discovery: {
    /** One may be lost while the other still tells everyone. */
    watcherCount: 2,
    /** Each entry hears within two seconds that its state is complete. */
    watchWaitMilliseconds: 1_000,
    /** A tenth of the time in which a change must be in force. */
    batchDelayMilliseconds: 200,
    /** A watch and its way here; an entry then watches by itself. */
    maximumStateAgeMilliseconds: 1_250,
    /** Servers register again within about two seconds of an outage. */
    outageGraceMilliseconds: 2_300,
  },
  crashes: {
    /** A request that crashes servers may reach three of them. */
    crashesToQuarantine: 3,
    /** Servers that crash are back after some seconds. */
    retentionMilliseconds: 60_000,
    /** Bounds the memory for suspects to about a megabyte. */
    maximumSuspects: 10_000,
  },
  /** Lines of one kind in a second; see docs/OPERATIONS.md. */
  linesPerSecond: 20,
  /** A link between entries that carried nothing is opened anew. */
  meshIdleTimeoutMilliseconds: 60_000,
} as const;
