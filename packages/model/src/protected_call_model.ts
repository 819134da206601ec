/**
 * Specification of protected calls: one caller with one action, the owner of
 * its key, a successor, a backend server, and a network that loses,
 * duplicates and delays requests.
 *
 * The tables are the kernel's own. Because they are mutable, a state holds
 * the operations that were applied to them and replays these when needed.
 */
import { AdoptedTables } from "@marigoldford/kernel/adopted_tables";
import type { HandOverPart } from "@marigoldford/kernel/adopted_tables";
import {
  mintKey,
  parseIdempotencyKey,
} from "@marigoldford/kernel/idempotency_key";
import { ProtectedCallTable } from "@marigoldford/kernel/protected_call_table";
import type {
  KeyRecord,
  RunEnd,
} from "@marigoldford/kernel/protected_call_table";

/** The protocol as specified, and variants that must each fail a property. */
export type ProtectedCallVariant =
  | "as specified"
  | "a key is not closed after not-run"
  | "records are dropped before they expire"
  | "a restarted entry accepts its predecessor's keys"
  | "an incomplete hand-over counts as complete"
  | "a caller uses a new key after unknown";

export type ProtectedCallEvent = {
  readonly type:
    | "send"
    | "resend"
    | "deliver to the owner"
    | "deliver to the successor"
    | "lose a request"
    | "duplicate a request"
    | "other keys fill the table"
    | "run"
    | "run and lose the answer"
    | "refuse before running"
    | "owner crashes"
    | "owner restarts"
    | "owner closes its table"
    | "hand over the first part"
    | "hand over the last part"
    | "keys expire"
    | "drop expired records";
};

type KeyName = "first" | "second";

type Operation =
  | { readonly kind: "begin"; readonly key: KeyName }
  | { readonly kind: "fill" }
  | { readonly kind: "finish"; readonly key: KeyName; readonly end: RunEnd }
  | { readonly kind: "close" }
  | { readonly kind: "expire" }
  | { readonly kind: "drop-expired" }
  | { readonly kind: "accept-part"; readonly part: 0 | 1 };

type ReportedOutcome = "nothing" | "answered" | "not-run" | "unknown";

export type ProtectedCallState = {
  readonly operations: readonly Operation[];
  /** Requests in transit, by their keys. */
  readonly requests: readonly KeyName[];
  readonly sends: number;
  readonly duplicates: number;
  readonly dispatched: KeyName | undefined;
  readonly owner: "up" | "closed" | "crashed" | "replaced";
  readonly handedOverParts: readonly (0 | 1)[];
  readonly isExpired: boolean;
  readonly usesSecondKey: boolean;
  readonly runs: Readonly<Record<KeyName, number>>;
  readonly reported: Readonly<Record<KeyName, ReportedOutcome>>;
  readonly hasReportedNotRun: Readonly<Record<KeyName, boolean>>;
};

export const INITIAL_STATE: ProtectedCallState = {
  operations: [],
  requests: [],
  sends: 0,
  duplicates: 0,
  dispatched: undefined,
  owner: "up",
  handedOverParts: [],
  isExpired: false,
  usesSecondKey: false,
  runs: { first: 0, second: 0 },
  reported: { first: "nothing", second: "nothing" },
  hasReportedNotRun: { first: false, second: false },
};

export const BOUNDS = "1 action, 2 keys, 3 sends, 1 duplicate, 2 parts";

const OWNER = "0".repeat(32);
const LIFETIME_MILLISECONDS = 100;
const MAXIMUM_SENDS = 3;
const MAXIMUM_DUPLICATES = 1;
const FILLER_NAMES: readonly string[] = ["filler-1", "filler-2"];
const DIGEST = "content";
const ANSWERED: RunEnd = {
  kind: "answered",
  answer: { status: 200, contentType: "", body: new Uint8Array() },
};

/** The state of the tables after a list of operations. */
type Tables = {
  readonly table: ProtectedCallTable;
  readonly adopted: AdoptedTables;
  readonly keys: Readonly<Record<KeyName, string>>;
};

function replayOperations(
  operations: readonly Operation[],
  variant: ProtectedCallVariant,
): Tables {
  let now = 0;
  const clock = () => now;
  const table = new ProtectedCallTable({
    incarnation: OWNER,
    clock,
    keyLifetimeMilliseconds: LIFETIME_MILLISECONDS,
    maximumKeys: 2,
    maximumBytes: 10_000,
    maximumAnswerBytes: 100,
  });
  const adopted = new AdoptedTables({
    clock,
    retentionMilliseconds: 10 * LIFETIME_MILLISECONDS,
    maximumRecords: 10,
  });
  const keys = {
    first: mintKey(table.keyPrefix(), "first"),
    fillers: FILLER_NAMES.map((name) => mintKey(table.keyPrefix(), name)),
    second: "",
  };
  for (const operation of operations) {
    switch (operation.kind) {
      case "begin":
        keys.second ||= mintKey(table.keyPrefix(), "second");
        beginKey(table, keys[operation.key]);
        break;
      case "fill":
        for (const filler of keys.fillers) beginKey(table, filler);
        break;
      case "finish":
        table.finish(keys[operation.key], operation.end);
        break;
      case "close":
        table.closePermanently();
        break;
      case "expire":
        now += 2 * LIFETIME_MILLISECONDS;
        break;
      case "drop-expired":
        table.dropExpired();
        break;
      case "accept-part":
        adopted.accept(
          makeHandOverPart(table, { index: operation.part, now, variant }),
        );
    }
  }
  keys.second ||= mintKey(table.keyPrefix(), "second");
  return { table, adopted, keys };
}

function beginKey(table: ProtectedCallTable, text: string) {
  const key = parseIdempotencyKey(text);
  if (key.isErr()) return undefined;
  return table.begin(key.value, DIGEST);
}

type OwnerDecision =
  | "run"
  | "join"
  | "replay"
  | "table-full"
  | "closed"
  | "other";
type SuccessorDecision = "replay" | "not-run" | "unknown";

/** How owner and successor would decide on each key after some operations. */
type KeyDecisions = {
  readonly owner: Readonly<Record<KeyName, OwnerDecision>>;
  readonly successor: Readonly<Record<KeyName, SuccessorDecision>>;
  readonly fingerprint: string;
};

const DECISION_CACHE = new Map<string, KeyDecisions>();

/** Cached because many states share the same operations. */
function decisionsOf(
  operations: readonly Operation[],
  variant: ProtectedCallVariant,
): KeyDecisions {
  const cacheKey = `${variant} ${JSON.stringify(operations)}`;
  const cached = DECISION_CACHE.get(cacheKey);
  if (cached !== undefined) return cached;
  const decisions = computeDecisions(operations, variant);
  DECISION_CACHE.set(cacheKey, decisions);
  return decisions;
}

function computeDecisions(
  operations: readonly Operation[],
  variant: ProtectedCallVariant,
): KeyDecisions {
  const { table, adopted } = replayOperations(operations, variant);
  const owner = {
    first: decideAsOwner(replayOperations(operations, variant), "first"),
    second: decideAsOwner(replayOperations(operations, variant), "second"),
  };
  const tables = replayOperations(operations, variant);
  const successor = {
    first: decideAsSuccessor(tables, "first"),
    second: decideAsSuccessor(tables, "second"),
  };
  const records = table.records().map(({ key, state }) => [key, state]);
  const handed = adopted.recordsOf(OWNER).map(({ key, state }) => [key, state]);
  const isComplete = adopted.isComplete(OWNER);
  const fingerprint = JSON.stringify([
    owner,
    successor,
    records,
    handed,
    isComplete,
  ]);
  return { owner, successor, fingerprint };
}

function decideAsOwner(tables: Tables, key: KeyName): OwnerDecision {
  const decision = beginKey(tables.table, tables.keys[key]);
  if (decision === undefined) return "other";
  if (decision.isErr()) {
    return decision.error.kind === "table-full" ? "table-full" : "other";
  }
  const { value } = decision;
  if (value.kind !== "settled") return value.kind;
  return value.state === "closed" ? "closed" : "other";
}

function decideAsSuccessor(tables: Tables, key: KeyName): SuccessorDecision {
  const parsed = parseIdempotencyKey(tables.keys[key]);
  if (parsed.isErr()) return "unknown";
  const decision = tables.adopted.decide(OWNER, {
    key: parsed.value,
    contentDigest: DIGEST,
  });
  if (decision.kind === "replay") return "replay";
  if (decision.kind === "never-seen") return "not-run";
  const isClosed = decision.kind === "settled" && decision.state === "closed";
  return isClosed ? "not-run" : "unknown";
}

/** Part 0 of a hand-over is empty; part 1, the last, holds all records. */
function makeHandOverPart(
  table: ProtectedCallTable,
  options: {
    readonly index: 0 | 1;
    readonly now: number;
    readonly variant: ProtectedCallVariant;
  },
): HandOverPart {
  const records: readonly KeyRecord[] = options.index === 1
    ? table.records()
    : [];
  const isLast = options.index === 1 ||
    options.variant === "an incomplete hand-over counts as complete";
  return {
    leaver: OWNER,
    index: options.index,
    isLast,
    leaverNowMilliseconds: options.now,
    records,
  };
}

/** Returns the same state if the event is not possible in it. */
export function step(
  state: ProtectedCallState,
  options: {
    readonly event: ProtectedCallEvent;
    readonly variant: ProtectedCallVariant;
  },
): ProtectedCallState {
  const { event, variant } = options;
  switch (event.type) {
    case "send":
      return state.sends === 0 ? send(state, "first") : state;
    case "resend":
      return resend(state, variant);
    case "deliver to the owner":
      return deliverToOwner(state, variant);
    case "deliver to the successor":
      return deliverToSuccessor(state, variant);
    case "lose a request":
      return state.requests.length === 0 ? state : removeFirstRequest(state);
    case "duplicate a request":
      return duplicate(state);
    case "other keys fill the table":
      return state.owner === "up" && state.operations.length === 0
        ? apply(state, { kind: "fill" })
        : state;
    case "run":
      return endRun(state, ANSWERED);
    case "run and lose the answer":
      return endRun(state, { kind: "unknown" });
    case "refuse before running":
      return refuseRun(state, variant);
    case "owner crashes":
      return isOwnerRunning(state) ? { ...state, owner: "crashed" } : state;
    case "owner restarts":
      return state.owner === "crashed"
        ? { ...state, owner: "replaced" }
        : state;
    case "owner closes its table":
      return state.owner === "up"
        ? { ...apply(state, { kind: "close" }), owner: "closed" }
        : state;
    case "hand over the first part":
      return handOver(state, 0);
    case "hand over the last part":
      return handOver(state, 1);
    case "keys expire":
      return state.isExpired
        ? state
        : { ...apply(state, { kind: "expire" }), isExpired: true };
    case "drop expired records":
      return dropExpiredRecords(state, variant);
  }
}

function isOwnerRunning(state: ProtectedCallState): boolean {
  return state.owner === "up" || state.owner === "closed";
}

function apply(
  state: ProtectedCallState,
  operation: Operation,
): ProtectedCallState {
  return { ...state, operations: [...state.operations, operation] };
}

function send(state: ProtectedCallState, key: KeyName): ProtectedCallState {
  return {
    ...state,
    sends: state.sends + 1,
    requests: [...state.requests, key].sort(),
    usesSecondKey: state.usesSecondKey || key === "second",
  };
}

/**
 * Resends with the same key. Only after `not-run` may the caller use a second
 * key; the broken variant does so after `unknown` as well.
 */
function resend(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  if (state.sends === 0 || state.sends >= MAXIMUM_SENDS) return state;
  if (state.usesSecondKey) return send(state, "second");
  const reported = state.reported.first;
  const isBrokenCaller = variant === "a caller uses a new key after unknown" &&
    reported === "unknown";
  if (reported === "not-run" || isBrokenCaller) return send(state, "second");
  return send(state, "first");
}

function removeFirstRequest(state: ProtectedCallState): ProtectedCallState {
  return { ...state, requests: state.requests.slice(1) };
}

function duplicate(state: ProtectedCallState): ProtectedCallState {
  if (state.requests.length === 0 || state.duplicates >= MAXIMUM_DUPLICATES) {
    return state;
  }
  const requests = [state.requests[0], ...state.requests];
  return { ...state, requests, duplicates: state.duplicates + 1 };
}

function reportOutcome(
  state: ProtectedCallState,
  answer: { readonly key: KeyName; readonly reported: ReportedOutcome },
): ProtectedCallState {
  const { key, reported } = answer;
  const hasReportedNotRun = {
    ...state.hasReportedNotRun,
    [key]: state.hasReportedNotRun[key] || reported === "not-run",
  };
  return {
    ...state,
    reported: { ...state.reported, [key]: reported },
    hasReportedNotRun,
  };
}

function deliverToOwner(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  const key = state.requests[0];
  if (key === undefined) return state;
  const delivered = removeFirstRequest(state);
  if (state.owner === "crashed") {
    return reportOutcome(delivered, { key, reported: "unknown" });
  }
  if (state.owner === "replaced") {
    return deliverToReplacement(delivered, { key, variant });
  }
  switch (decisionsOf(state.operations, variant).owner[key]) {
    case "run":
      return { ...apply(delivered, { kind: "begin", key }), dispatched: key };
    case "join":
      return delivered;
    case "replay":
      return reportOutcome(delivered, { key, reported: "answered" });
    case "table-full": {
      const closed = apply(delivered, { kind: "begin", key });
      return reportOutcome(closed, { key, reported: "not-run" });
    }
    case "closed":
      return reportOutcome(delivered, { key, reported: "not-run" });
    case "other":
      return reportOutcome(delivered, { key, reported: "unknown" });
  }
}

/** A new process at the owner's address knows nothing of the owner's keys. */
function deliverToReplacement(
  state: ProtectedCallState,
  request: {
    readonly key: KeyName;
    readonly variant: ProtectedCallVariant;
  },
): ProtectedCallState {
  const { key, variant } = request;
  if (variant !== "a restarted entry accepts its predecessor's keys") {
    return reportOutcome(state, { key, reported: "unknown" });
  }
  const runs = { ...state.runs, [key]: Math.min(2, state.runs[key] + 1) };
  return reportOutcome({ ...state, runs }, { key, reported: "answered" });
}

function deliverToSuccessor(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  const key = state.requests[0];
  if (key === undefined || state.handedOverParts.length === 0) return state;
  const delivered = removeFirstRequest(state);
  switch (decisionsOf(state.operations, variant).successor[key]) {
    case "replay":
      return reportOutcome(delivered, { key, reported: "answered" });
    case "not-run":
      return reportOutcome(delivered, { key, reported: "not-run" });
    case "unknown":
      return reportOutcome(delivered, { key, reported: "unknown" });
  }
}

/** The backend server may complete the run after the owner has crashed. */
function endRun(state: ProtectedCallState, end: RunEnd): ProtectedCallState {
  const key = state.dispatched;
  if (key === undefined) return state;
  const runs = { ...state.runs, [key]: Math.min(2, state.runs[key] + 1) };
  const ended = { ...state, runs, dispatched: undefined };
  if (!isOwnerRunning(state)) return ended;
  const finished = apply(ended, { kind: "finish", key, end });
  const reported = end.kind === "answered" ? "answered" : "unknown";
  return reportOutcome(finished, { key, reported });
}

function refuseRun(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  const key = state.dispatched;
  if (key === undefined) return state;
  const ended = { ...state, dispatched: undefined };
  if (!isOwnerRunning(state)) return ended;
  if (variant === "a key is not closed after not-run") {
    return reportOutcome(withoutKey(ended, key), { key, reported: "not-run" });
  }
  const end: RunEnd = { kind: "not-run" };
  const finished = apply(ended, { kind: "finish", key, end });
  return reportOutcome(finished, { key, reported: "not-run" });
}

function withoutKey(
  state: ProtectedCallState,
  key: KeyName,
): ProtectedCallState {
  const operations = state.operations.filter((operation) =>
    !("key" in operation) || operation.key !== key
  );
  return { ...state, operations };
}

/** The owner sends a part only while it runs with its table closed. */
function handOver(
  state: ProtectedCallState,
  part: 0 | 1,
): ProtectedCallState {
  if (state.owner !== "closed" || state.handedOverParts.includes(part)) {
    return state;
  }
  const afterPart = apply(state, { kind: "accept-part", part });
  return { ...afterPart, handedOverParts: [...state.handedOverParts, part] };
}

function dropExpiredRecords(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  if (!isOwnerRunning(state)) return state;
  if (variant === "records are dropped before they expire") {
    return withoutKey(state, "first");
  }
  const last = state.operations[state.operations.length - 1];
  if (!state.isExpired || last?.kind === "drop-expired") return state;
  return apply(state, { kind: "drop-expired" });
}

/** Serializes the tables by content, whichever operations led to it. */
export function serialize(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): string {
  const { operations, ...rest } = state;
  return JSON.stringify([rest, decisionsOf(operations, variant).fingerprint]);
}
