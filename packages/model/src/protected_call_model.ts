/**
 * Specification of protected calls: one caller with one action, the owner of
 * its key, a successor, a backend server, and a network that loses,
 * duplicates and delays.
 *
 * The tables are the kernel's own. A state keeps the operations that were
 * applied to them and replays them, because the tables are mutable.
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

/** Ways to break the protocol, each of which must yield a counterexample. */
export type ProtectedCallVariant =
  | "as specified"
  | "a refused key stays open"
  | "records are forgotten early"
  | "a restarted entry runs its predecessor's keys"
  | "an incomplete hand-over counts as whole"
  | "a caller mints a new key after unknown";

export type ProtectedCallEvent = {
  readonly type:
    | "send"
    | "send again"
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
    | "forget";
};

type KeyName = "first" | "second";

type Operation =
  | { readonly kind: "begin"; readonly key: KeyName }
  | { readonly kind: "fill" }
  | { readonly kind: "finish"; readonly key: KeyName; readonly end: RunEnd }
  | { readonly kind: "close" }
  | { readonly kind: "expire" }
  | { readonly kind: "forget" }
  | { readonly kind: "part"; readonly part: 0 | 1 };

type Told = "nothing" | "answered" | "not-run" | "unknown";

export type ProtectedCallState = {
  readonly operations: readonly Operation[];
  /** Copies of requests on the way, by key. */
  readonly requests: readonly KeyName[];
  readonly sends: number;
  readonly duplicates: number;
  readonly dispatched: KeyName | undefined;
  readonly owner: "up" | "closed" | "gone" | "replaced";
  readonly partsHanded: readonly (0 | 1)[];
  readonly isExpired: boolean;
  readonly usesSecondKey: boolean;
  readonly runs: Readonly<Record<KeyName, number>>;
  readonly told: Readonly<Record<KeyName, Told>>;
  readonly everToldNotRun: Readonly<Record<KeyName, boolean>>;
};

export const INITIAL_STATE: ProtectedCallState = {
  operations: [],
  requests: [],
  sends: 0,
  duplicates: 0,
  dispatched: undefined,
  owner: "up",
  partsHanded: [],
  isExpired: false,
  usesSecondKey: false,
  runs: { first: 0, second: 0 },
  told: { first: "nothing", second: "nothing" },
  everToldNotRun: { first: false, second: false },
};

export const BOUNDS = "1 action, 2 keys, 3 sends, 1 duplicate, 2 parts";

const OWNER = "0".repeat(32);
const LIFETIME_MILLISECONDS = 100;
const MOST_SENDS = 3;
const MOST_DUPLICATES = 1;
const FILLERS: readonly string[] = ["filler-1", "filler-2"];
const DIGEST = "content";
const ANSWER: RunEnd = {
  kind: "answered",
  answer: { status: 200, contentType: "", body: new Uint8Array() },
};

/** The tables that a list of operations leads to. */
type Tables = {
  readonly table: ProtectedCallTable;
  readonly adopted: AdoptedTables;
  readonly keys: Readonly<Record<KeyName, string>>;
};

function replay(
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
    fillers: FILLERS.map((name) => mintKey(table.keyPrefix(), name)),
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
      case "forget":
        table.dropExpired();
        break;
      case "part":
        adopted.accept(
          partOf(table, { index: operation.part, now, variant }),
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

type OwnerAnswer =
  | "run"
  | "join"
  | "replay"
  | "table-full"
  | "closed"
  | "other";
type SuccessorAnswer = "replay" | "not-run" | "unknown";

/** What the tables would do with each key, after some operations. */
type View = {
  readonly owner: Readonly<Record<KeyName, OwnerAnswer>>;
  readonly successor: Readonly<Record<KeyName, SuccessorAnswer>>;
  readonly fingerprint: string;
};

const VIEWS = new Map<string, View>();

/** Views are kept, because many states share the same operations. */
function viewOf(
  operations: readonly Operation[],
  variant: ProtectedCallVariant,
): View {
  const name = `${variant} ${JSON.stringify(operations)}`;
  const known = VIEWS.get(name);
  if (known !== undefined) return known;
  const view = makeView(operations, variant);
  VIEWS.set(name, view);
  return view;
}

function makeView(
  operations: readonly Operation[],
  variant: ProtectedCallVariant,
): View {
  const { table, adopted } = replay(operations, variant);
  const owner = {
    first: askOwner(replay(operations, variant), "first"),
    second: askOwner(replay(operations, variant), "second"),
  };
  const tables = replay(operations, variant);
  const successor = {
    first: askSuccessor(tables, "first"),
    second: askSuccessor(tables, "second"),
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

function askOwner(tables: Tables, key: KeyName): OwnerAnswer {
  const decision = beginKey(tables.table, tables.keys[key]);
  if (decision === undefined) return "other";
  if (decision.isErr()) {
    return decision.error.kind === "table-full" ? "table-full" : "other";
  }
  const { value } = decision;
  if (value.kind !== "settled") return value.kind;
  return value.state === "closed" ? "closed" : "other";
}

function askSuccessor(tables: Tables, key: KeyName): SuccessorAnswer {
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

/** Part 0 is empty and part 1, the last, carries the records. */
function partOf(
  table: ProtectedCallTable,
  cut: {
    readonly index: 0 | 1;
    readonly now: number;
    readonly variant: ProtectedCallVariant;
  },
): HandOverPart {
  const records: readonly KeyRecord[] = cut.index === 1 ? table.records() : [];
  const isLast = cut.index === 1 ||
    cut.variant === "an incomplete hand-over counts as whole";
  return {
    leaver: OWNER,
    index: cut.index,
    isLast,
    leaverNowMilliseconds: cut.now,
    records,
  };
}

/** One step of the protocol. */
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
    case "send again":
      return sendAgain(state, variant);
    case "deliver to the owner":
      return deliverToOwner(state, variant);
    case "deliver to the successor":
      return deliverToSuccessor(state, variant);
    case "lose a request":
      return state.requests.length === 0 ? state : takeRequest(state);
    case "duplicate a request":
      return duplicate(state);
    case "other keys fill the table":
      return state.owner === "up" && state.operations.length === 0
        ? apply(state, { kind: "fill" })
        : state;
    case "run":
      return endRun(state, ANSWER);
    case "run and lose the answer":
      return endRun(state, { kind: "unknown" });
    case "refuse before running":
      return refuseRun(state, variant);
    case "owner crashes":
      return isUp(state) ? { ...state, owner: "gone" } : state;
    case "owner restarts":
      return state.owner === "gone" ? { ...state, owner: "replaced" } : state;
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
    case "forget":
      return forget(state, variant);
  }
}

function isUp(state: ProtectedCallState): boolean {
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
 * The caller resends the same key. Only after `not-run` it may use a second
 * one; the broken caller does so after `unknown` as well.
 */
function sendAgain(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  if (state.sends === 0 || state.sends >= MOST_SENDS) return state;
  if (state.usesSecondKey) return send(state, "second");
  const told = state.told.first;
  const isBrokenCaller = variant === "a caller mints a new key after unknown" &&
    told === "unknown";
  if (told === "not-run" || isBrokenCaller) return send(state, "second");
  return send(state, "first");
}

function takeRequest(state: ProtectedCallState): ProtectedCallState {
  return { ...state, requests: state.requests.slice(1) };
}

function duplicate(state: ProtectedCallState): ProtectedCallState {
  if (state.requests.length === 0 || state.duplicates >= MOST_DUPLICATES) {
    return state;
  }
  const requests = [state.requests[0], ...state.requests];
  return { ...state, requests, duplicates: state.duplicates + 1 };
}

function tell(
  state: ProtectedCallState,
  answer: { readonly key: KeyName; readonly told: Told },
): ProtectedCallState {
  const { key, told } = answer;
  const everToldNotRun = {
    ...state.everToldNotRun,
    [key]: state.everToldNotRun[key] || told === "not-run",
  };
  return { ...state, told: { ...state.told, [key]: told }, everToldNotRun };
}

function deliverToOwner(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  const key = state.requests[0];
  if (key === undefined) return state;
  const taken = takeRequest(state);
  if (state.owner === "gone") return tell(taken, { key, told: "unknown" });
  if (state.owner === "replaced") {
    return askReplacement(taken, { key, variant });
  }
  switch (viewOf(state.operations, variant).owner[key]) {
    case "run":
      return { ...apply(taken, { kind: "begin", key }), dispatched: key };
    case "join":
      return taken;
    case "replay":
      return tell(taken, { key, told: "answered" });
    case "table-full": {
      const closed = apply(taken, { kind: "begin", key });
      return tell(closed, { key, told: "not-run" });
    }
    case "closed":
      return tell(taken, { key, told: "not-run" });
    case "other":
      return tell(taken, { key, told: "unknown" });
  }
}

/** A new process at the owner's address is not the owner. */
function askReplacement(
  state: ProtectedCallState,
  request: {
    readonly key: KeyName;
    readonly variant: ProtectedCallVariant;
  },
): ProtectedCallState {
  const { key, variant } = request;
  if (variant !== "a restarted entry runs its predecessor's keys") {
    return tell(state, { key, told: "unknown" });
  }
  const runs = { ...state.runs, [key]: Math.min(2, state.runs[key] + 1) };
  return tell({ ...state, runs }, { key, told: "answered" });
}

function deliverToSuccessor(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  const key = state.requests[0];
  if (key === undefined || state.partsHanded.length === 0) return state;
  const taken = takeRequest(state);
  switch (viewOf(state.operations, variant).successor[key]) {
    case "replay":
      return tell(taken, { key, told: "answered" });
    case "not-run":
      return tell(taken, { key, told: "not-run" });
    case "unknown":
      return tell(taken, { key, told: "unknown" });
  }
}

/** The backend server acts even when the owner is no longer there. */
function endRun(state: ProtectedCallState, end: RunEnd): ProtectedCallState {
  const key = state.dispatched;
  if (key === undefined) return state;
  const runs = { ...state.runs, [key]: Math.min(2, state.runs[key] + 1) };
  const ended = { ...state, runs, dispatched: undefined };
  if (!isUp(state)) return ended;
  const finished = apply(ended, { kind: "finish", key, end });
  const told = end.kind === "answered" ? "answered" : "unknown";
  return tell(finished, { key, told });
}

function refuseRun(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  const key = state.dispatched;
  if (key === undefined) return state;
  const ended = { ...state, dispatched: undefined };
  if (!isUp(state)) return ended;
  if (variant === "a refused key stays open") {
    return tell(withoutKey(ended, key), { key, told: "not-run" });
  }
  const end: RunEnd = { kind: "not-run" };
  const finished = apply(ended, { kind: "finish", key, end });
  return tell(finished, { key, told: "not-run" });
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

/** A part counts only while its sender is there and takes nothing new. */
function handOver(
  state: ProtectedCallState,
  part: 0 | 1,
): ProtectedCallState {
  if (state.owner !== "closed" || state.partsHanded.includes(part)) {
    return state;
  }
  const handed = apply(state, { kind: "part", part });
  return { ...handed, partsHanded: [...state.partsHanded, part] };
}

function forget(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): ProtectedCallState {
  if (!isUp(state)) return state;
  if (variant === "records are forgotten early") {
    return withoutKey(state, "first");
  }
  const last = state.operations[state.operations.length - 1];
  if (!state.isExpired || last?.kind === "forget") return state;
  return apply(state, { kind: "forget" });
}

/** Equal for states in which the tables hold the same. */
export function serialize(
  state: ProtectedCallState,
  variant: ProtectedCallVariant,
): string {
  const { operations, ...rest } = state;
  return JSON.stringify([rest, viewOf(operations, variant).fingerprint]);
}
