/**
 * Settings of the entry daemon: their schema, defaults and checks.
 *
 * All faults are reported together, each with its path, the given value and
 * what is expected. An unknown key is refused with the most similar known key.
 */
import { closest, distance } from "fastest-levenshtein";
import * as Schema from "effect/Schema";
import { err, ok, type Result } from "neverthrow";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const MAXIMUM_MILLISECONDS = 24 * 3_600_000;
const MAXIMUM_COUNT = 1_000_000_000;

const AddressOption = Schema.String.check(
  Schema.isPattern(ADDRESS_PATTERN, {
    expected: "an IP address and a port, such as 127.0.0.1:8080",
  }),
);
const Name = Schema.String.check(
  Schema.isPattern(/^[\w.:-]{1,128}$/, {
    expected: "1 to 128 letters, digits, or . _ : -",
  }),
);

function wholeNumber(minimum: number, maximum: number) {
  const expected = `a whole number from ${minimum} to ${maximum}`;
  return Schema.Int.check(Schema.isBetween({ minimum, maximum }, { expected }));
}

const MILLISECONDS = wholeNumber(1, MAXIMUM_MILLISECONDS);
const COUNT = wholeNumber(1, MAXIMUM_COUNT);
const SHARE = Schema.Finite.check(
  Schema.isBetween({ minimum: 0, maximum: 1 }, {
    expected: "a share from 0 to 1",
  }),
);

export const ENTRY_OPTIONS_SCHEMA = Schema.Struct({
  instance: Schema.Struct({
    callAddress: AddressOption,
    meshAddress: AddressOption,
    /** Addresses that callers and peers connect to, if not those listened on. */
    advertisedCallAddress: Schema.optionalKey(AddressOption),
    advertisedMeshAddress: Schema.optionalKey(AddressOption),
    failureDomain: Name,
  }),
  platform: Schema.Struct({
    url: Schema.String.check(
      Schema.isPattern(/^http:\/\/[^\s/]+\/?$/, {
        expected: "a URL such as http://127.0.0.1:7000",
      }),
    ),
    valuePrefix: Schema.String,
    readTimeoutMilliseconds: MILLISECONDS,
    watchWaitMilliseconds: MILLISECONDS,
    retryDelayMilliseconds: MILLISECONDS,
    watchersPerFailureDomain: COUNT,
    fallbackReadIntervalMilliseconds: MILLISECONDS,
    instanceListIntervalMilliseconds: MILLISECONDS,
  }),
  mesh: Schema.Struct({
    heartbeatIntervalMilliseconds: MILLISECONDS,
    /**
     * Minimum time without a heartbeat until a peer is considered dead, and the
     * idle timeout of connections between entries.
     */
    silenceMilliseconds: MILLISECONDS,
    connectTimeoutMilliseconds: MILLISECONDS,
    /** Interval at which the entry sends its own record to all peers. */
    recordIntervalMilliseconds: MILLISECONDS,
    syncTimeoutMilliseconds: MILLISECONDS,
    /** A gap between timer ticks that counts as a pause of the process. */
    pauseMilliseconds: MILLISECONDS,
  }),
  calls: Schema.Struct({
    deadlineMilliseconds: MILLISECONDS,
    longestDeadlineMilliseconds: MILLISECONDS,
    connectTimeoutMilliseconds: MILLISECONDS,
    idleConnectionMilliseconds: MILLISECONDS,
    maximumBodyBytes: COUNT,
    maximumHeaderBytes: COUNT,
    headerTimeoutMilliseconds: MILLISECONDS,
    maximumCallerConnections: COUNT,
    queueLength: COUNT,
    inFlightPerSlot: COUNT,
    retryShare: SHARE,
    hedgeShare: SHARE,
    /** Maximum number of entries that share connections and health polls. */
    entriesCeiling: COUNT,
    /** How long callers may cache the list of entries. */
    answerValidMilliseconds: MILLISECONDS,
    /** Crashed backend servers after which a request is quarantined. */
    quarantineCrashes: wholeNumber(2, 100),
    quarantineMilliseconds: MILLISECONDS,
  }),
  protectedCalls: Schema.Struct({
    keyLifetimeMilliseconds: MILLISECONDS,
    maximumKeys: COUNT,
    maximumBytes: COUNT,
    maximumAnswerBytes: COUNT,
    idleConnectionMilliseconds: MILLISECONDS,
    /** How long a run waits for an answer after the caller's deadline. */
    lateAnswerMilliseconds: MILLISECONDS,
    /** Added to a call's remaining time when waiting for the owner's reply. */
    ownerTimeoutMilliseconds: MILLISECONDS,
  }),
  choosing: Schema.Struct({ policy: Name }),
  health: Schema.Struct({
    pollIntervalMilliseconds: MILLISECONDS,
    pollTimeoutMilliseconds: MILLISECONDS,
    pollersPerServer: wholeNumber(0, 100),
    path: Schema.String.check(
      Schema.isPattern(/^\/\S*$/, { expected: "a path that begins with /" }),
    ),
    /** Share of the slot time of backend servers that polls may use. */
    slotShare: SHARE,
    /** Slot time that one poll is assumed to use. */
    costMilliseconds: MILLISECONDS,
    /** How long a signal that a backend server is leaving stays valid. */
    leavingMarkMilliseconds: MILLISECONDS,
  }),
  shutdown: Schema.Struct({
    /** How long a leaving entry still accepts new calls. */
    graceMilliseconds: MILLISECONDS,
    drainMilliseconds: MILLISECONDS,
    handOverMilliseconds: MILLISECONDS,
  }),
  log: Schema.String,
});

export type EntryOptions = typeof ENTRY_OPTIONS_SCHEMA.Type;

/** Values of the keys that a settings file may omit. */
export const DEFAULT_OPTIONS = {
  platform: {
    valuePrefix: "sheet/",
    readTimeoutMilliseconds: 1_000,
    watchWaitMilliseconds: 10_000,
    retryDelayMilliseconds: 500,
    watchersPerFailureDomain: 2,
    fallbackReadIntervalMilliseconds: 30_000,
    instanceListIntervalMilliseconds: 2_000,
  },
  mesh: {
    heartbeatIntervalMilliseconds: 1_000,
    silenceMilliseconds: 5_000,
    connectTimeoutMilliseconds: 500,
    recordIntervalMilliseconds: 60_000,
    syncTimeoutMilliseconds: 500,
    pauseMilliseconds: 1_500,
  },
  calls: {
    deadlineMilliseconds: 2_000,
    longestDeadlineMilliseconds: 60_000,
    connectTimeoutMilliseconds: 300,
    idleConnectionMilliseconds: 4_000,
    maximumBodyBytes: 1_048_576,
    maximumHeaderBytes: 16_384,
    headerTimeoutMilliseconds: 5_000,
    maximumCallerConnections: 5_000,
    queueLength: 200,
    inFlightPerSlot: 2,
    retryShare: 0.05,
    hedgeShare: 0.05,
    entriesCeiling: 18,
    answerValidMilliseconds: 3_000,
    quarantineCrashes: 2,
    quarantineMilliseconds: 60_000,
  },
  protectedCalls: {
    keyLifetimeMilliseconds: 600_000,
    maximumKeys: 50_000,
    maximumBytes: 67_108_864,
    maximumAnswerBytes: 65_536,
    idleConnectionMilliseconds: 200,
    lateAnswerMilliseconds: 2_000,
    ownerTimeoutMilliseconds: 3_000,
  },
  choosing: { policy: "aged-reports" },
  health: {
    pollIntervalMilliseconds: 2_000,
    pollTimeoutMilliseconds: 500,
    pollersPerServer: 2,
    path: "/health",
    slotShare: 0.01,
    costMilliseconds: 1,
    leavingMarkMilliseconds: 15_000,
  },
  shutdown: {
    graceMilliseconds: 4_000,
    drainMilliseconds: 10_000,
    handOverMilliseconds: 3_000,
  },
  log: "",
} as const;

export type OptionFault = {
  readonly path: string;
  readonly given: string;
  readonly expected: string;
};

type PlainObject = Record<string, unknown>;

const validate = Schema.toStandardSchemaV1(ENTRY_OPTIONS_SCHEMA, {
  parseOptions: { errors: "all", onExcessProperty: "error" },
})["~standard"].validate;

/** Fills in defaults and validates all settings. */
export function normalizeOptions(
  given: unknown,
): Result<EntryOptions, OptionFault[]> {
  if (!isPlainObject(given)) {
    const expected = "an object with sections such as instance and platform";
    return err([{ path: "(settings)", given: formatValue(given), expected }]);
  }
  const filled = fillDefaults(given);
  const result = validate(filled);
  if (result instanceof Promise) return err([]);
  if (result.issues === undefined) return ok(result.value);
  return err(result.issues.map((issue) => toFault(issue, filled)));
}

function isPlainObject(value: unknown): value is PlainObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function fillDefaults(given: PlainObject): PlainObject {
  const filled: PlainObject = { ...DEFAULT_OPTIONS, ...given };
  for (const [section, defaults] of Object.entries(DEFAULT_OPTIONS)) {
    const givenSection = given[section];
    if (!isPlainObject(defaults) || !isPlainObject(givenSection)) continue;
    filled[section] = { ...defaults, ...givenSection };
  }
  return filled;
}

type Issue = {
  readonly message: string;
  readonly path?:
    | ReadonlyArray<PropertyKey | { readonly key: PropertyKey }>
    | undefined;
};

function toFault(issue: Issue, options: PlainObject): OptionFault {
  const path = (issue.path ?? []).map((part) =>
    String(typeof part === "object" ? part.key : part)
  );
  const given = formatValue(valueAt(path, options));
  return {
    path: path.join("."),
    given,
    expected: describeExpected(issue, path),
  };
}

function valueAt(path: readonly string[], options: PlainObject): unknown {
  let value: unknown = options;
  for (const key of path) {
    value = isPlainObject(value) ? value[key] : undefined;
  }
  return value;
}

function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  return JSON.stringify(value);
}

function describeExpected(issue: Issue, path: readonly string[]): string {
  if (!issue.message.includes("excess property")) {
    return issue.message.replace(/^Expected /, "").replace(/, got .*$/, "");
  }
  return `a known key; the nearest is ${nearestKey(path)}`;
}

function nearestKey(path: readonly string[]): string {
  const section = path.length > 1 ? path[0] : undefined;
  const given = path[path.length - 1];
  const known = knownKeys(section);
  const nearest = closest(given, known);
  const prefix = section === undefined ? "" : `${section}.`;
  const isFar = distance(given, nearest) > given.length;
  return isFar ? `one of ${known.join(", ")}` : `${prefix}${nearest}`;
}

function knownKeys(section: string | undefined): string[] {
  const sections = ENTRY_OPTIONS_SCHEMA.fields;
  if (section === undefined) return Object.keys(sections);
  const schema = sections[section as keyof typeof sections];
  return "fields" in schema ? Object.keys(schema.fields) : [];
}
