/**
 * Tuning constants of the gateway, which do not depend on where it runs.
 *
 * Values without a stated reason were compared in measurements; see
 * docs/design/platform.md.
 */
export const TUNING = {
  /** A lost SYN packet would be resent only after a second. */
  connectTimeoutMilliseconds: 250,
  connections: {
    /** Backend servers close idle connections after about ten seconds. */
    idleMilliseconds: 4_000,
    /** No limit in practice; a server's slots limit its connections. */
    maximumSockets: 64,
  },
  costs: {
    /**
     * The round trip covers a millisecond in each direction. The cost of
     * traffic is the higher one of two sites.
     */
    crossDomainCost: { roundTripMilliseconds: 3, objectivesPerMegabyte: 25 },
    /** Prefers connected servers among those that are about as fast. */
    objectivesPerConnection: 0.02,
    /**
     * An entry with few requests then keeps to some servers while these have
     * room, and its connections to them do not expire between two requests.
     */
    objectivesPerConnectionInLargeFleet: 0.08,
  },
  probe: {
    /** Three failed probes eject a dead server in about a second. */
    maximumReportAgeMilliseconds: 400,
    timeoutMilliseconds: 400,
    /** Several round trips between failure domains. */
    maximumWaitMilliseconds: 12,
  },
  /** Share of the probe budget that is used. */
  probeBudgetShare: 0.7,
  /** Probes that calm seconds leave are used in bursts, which last as long. */
  savedProbeSeconds: 4,
  /** With shorter intervals the messages took a third of the processor time. */
  load: {
    /** Older reports are not used to count requests. */
    sameDomain: { minimumMilliseconds: 40, maximumMilliseconds: 150 },
    /** Other failure domains get counts, which change more slowly. */
    crossDomain: { minimumMilliseconds: 200, maximumMilliseconds: 300 },
  },
  discovery: {
    /** The fleet still gets changes when one of the two fails. */
    watcherCount: 2,
    /** An unchanged state is confirmed to each entry within two seconds. */
    watchWaitMilliseconds: 1_000,
    /** A tenth of the time within which a change must take effect. */
    batchDelayMilliseconds: 200,
    /**
     * The length of a watch and the time to pass its result on; with an older
     * state an entry watches the service itself.
     */
    maximumStateAgeMilliseconds: 1_250,
    /** Servers register again within about two seconds after an outage. */
    outageGraceMilliseconds: 2_300,
  },
  crashes: {
    /** A request that crashes servers reaches at most three of them. */
    crashesToQuarantine: 3,
    /** Crashed servers restart within seconds, well before this. */
    retentionMilliseconds: 60_000,
    /** Limits the memory for suspects to about a megabyte. */
    maximumSuspects: 10_000,
    /** Several round trips between failure domains, as for a probe. */
    maximumWaitMilliseconds: 12,
    /** A peer of a busy fleet has answered by then. */
    maximumSuspectWaitMilliseconds: 100,
  },
  /** Log lines per event and second; see docs/OPERATIONS.md. */
  linesPerSecond: 20,
  /** Idle connections between entries are closed and reopened on demand. */
  meshIdleTimeoutMilliseconds: 60_000,
} as const;
