/**
 * Messages between entries, as schemas: what does not fit is refused before
 * any of it is used. Unknown fields are ignored, so that a newer entry may
 * add some.
 */
import * as Schema from "effect/Schema";
import { BUDGET_NAMES, LIMIT_NAMES } from "@marigoldford/kernel/intention";

export const MESH_VERSION = 1;

const LONGEST_NAME = 512;
const LONGEST_PATH = 16_384;
const MOST_ITEMS = 20_000;

const Name = Schema.String.check(Schema.isMaxLength(LONGEST_NAME));
const Count = Schema.Int.check(
  Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
);
const Milliseconds = Schema.Finite;

function listOf<Item extends Schema.Top>(item: Item) {
  return Schema.Array(item).check(Schema.isMaxLength(MOST_ITEMS));
}

const EntryRecordSchema = Schema.Struct({
  incarnation: Name,
  callAddress: Name,
  meshAddress: Name,
  failureDomain: Name,
  keyPrefix: Name,
  issue: Count,
});

const EntryStateSchema = Schema.Literals([
  "starting",
  "serving",
  "leaving",
  "stopped",
]);

const BeatSchema = Schema.Struct({
  incarnation: Name,
  count: Count,
  state: EntryStateSchema,
  ageMilliseconds: Milliseconds,
});

const LeavingMarkSchema = Schema.Struct({
  address: Name,
  ageMilliseconds: Milliseconds,
});

const HandOverSchema = Schema.Struct({
  leaver: Name,
  successor: Name,
});

const ContentSchema = Schema.Union([
  Schema.Struct({
    kind: Schema.Literal("service-rule"),
    service: Name,
    host: Name,
    method: Name,
    pathPrefix: Schema.String.check(Schema.isMaxLength(LONGEST_PATH)),
  }),
  Schema.Struct({
    kind: Schema.Literal("backend-server"),
    service: Name,
    address: Name,
    failureDomain: Name,
    slots: Count,
    connections: Count,
  }),
  Schema.Struct({
    kind: Schema.Literal("protected"),
    service: Name,
    method: Name,
    pathPrefix: Schema.String.check(Schema.isMaxLength(LONGEST_PATH)),
  }),
  Schema.Struct({ kind: Schema.Literal("retiring"), address: Name }),
  Schema.Struct({
    kind: Schema.Literal("limit"),
    service: Name,
    name: Schema.Literals(LIMIT_NAMES),
    value: Count,
  }),
  Schema.Struct({
    kind: Schema.Literal("budget"),
    service: Name,
    name: Schema.Literals(BUDGET_NAMES),
    value: Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 })),
  }),
]);

const IntentionRowSchema = Schema.Struct({
  intention: Name,
  revision: Count,
  isWithdrawn: Schema.Boolean,
  content: ContentSchema,
  digest: Name,
  origin: Schema.Struct({
    valueName: Name,
    platformVersion: Count,
    line: Count,
  }),
});

const StoredAnswerSchema = Schema.Struct({
  status: Count,
  contentType: Name,
  body: Schema.Uint8Array,
});

const KeyRecordSchema = Schema.Struct({
  key: Name,
  expiresAtMilliseconds: Milliseconds,
  contentDigest: Name,
  state: Schema.Literals([
    "running",
    "answered",
    "answer-not-kept",
    "unknown",
    "closed",
  ]),
  answer: Schema.optionalKey(StoredAnswerSchema),
});

const Hello = Schema.Struct({
  kind: Schema.Literal("hello"),
  version: Count,
  incarnation: Name,
});

/** The sender is the peer that said hello on the connection. */
const Heartbeat = Schema.Struct({
  kind: Schema.Literal("heartbeat"),
  count: Count,
  state: EntryStateSchema,
  /** First characters of the digest over all intentions. */
  digest: Name,
  handOvers: Schema.optionalKey(listOf(HandOverSchema)),
});

const EntryRecords = Schema.Struct({
  kind: Schema.Literal("entry-records"),
  records: listOf(EntryRecordSchema),
});

/** Asks for the records of entries that the sender has only heard of. */
const WhoIs = Schema.Struct({
  kind: Schema.Literal("who-is"),
  incarnations: listOf(Name),
});

const IntentionDigests = Schema.Struct({
  kind: Schema.Literal("intention-digests"),
  buckets: listOf(Name),
  /** Whether the receiver shall answer with its own digests. */
  wantsReply: Schema.Boolean,
});

const Intentions = Schema.Struct({
  kind: Schema.Literal("intentions"),
  rows: listOf(IntentionRowSchema),
});

const LeavingServers = Schema.Struct({
  kind: Schema.Literal("leaving-servers"),
  /** Addresses, with how long ago each was seen to leave. */
  marks: listOf(LeavingMarkSchema),
});

const CrashSuspicionMessage = Schema.Struct({
  kind: Schema.Literal("crash-suspicion"),
  fingerprint: Name,
  address: Name,
});

const SyncRequest = Schema.Struct({
  kind: Schema.Literal("sync-request"),
  id: Count,
  buckets: listOf(Name),
});

const SyncReply = Schema.Struct({
  kind: Schema.Literal("sync-reply"),
  id: Count,
  rows: listOf(IntentionRowSchema),
  marks: listOf(LeavingMarkSchema),
  records: listOf(EntryRecordSchema),
  beats: listOf(BeatSchema),
  handOvers: listOf(HandOverSchema),
});

const ForwardCall = Schema.Struct({
  kind: Schema.Literal("forward-call"),
  id: Count,
  key: Name,
  method: Name,
  path: Schema.String.check(Schema.isMaxLength(LONGEST_PATH)),
  host: Name,
  contentType: Name,
  deadlineMilliseconds: Milliseconds,
  body: Schema.Uint8Array,
});

const ForwardAnswer = Schema.Struct({
  kind: Schema.Literal("forward-answer"),
  id: Count,
  answer: Schema.optionalKey(StoredAnswerSchema),
  refusal: Schema.optionalKey(
    Schema.Struct({ reason: Name, detail: Schema.String }),
  ),
});

const HandOverPartMessage = Schema.Struct({
  kind: Schema.Literal("hand-over-part"),
  id: Count,
  leaver: Name,
  index: Count,
  isLast: Schema.Boolean,
  leaverNowMilliseconds: Milliseconds,
  records: listOf(KeyRecordSchema),
});

const HandOverAcknowledgement = Schema.Struct({
  kind: Schema.Literal("hand-over-acknowledgement"),
  id: Count,
  accepted: Schema.Boolean,
});

export const MESH_MESSAGE_SCHEMA = Schema.Union([
  Hello,
  Heartbeat,
  EntryRecords,
  WhoIs,
  IntentionDigests,
  Intentions,
  LeavingServers,
  CrashSuspicionMessage,
  SyncRequest,
  SyncReply,
  ForwardCall,
  ForwardAnswer,
  HandOverPartMessage,
  HandOverAcknowledgement,
]);

export type MeshMessage = typeof MESH_MESSAGE_SCHEMA.Type;
export type MeshMessageKind = MeshMessage["kind"];
export type MessageOf<Kind extends MeshMessageKind> = Extract<
  MeshMessage,
  { kind: Kind }
>;

/** Messages that open an exchange, and the kind that answers each. */
export type MeshRequest = MessageOf<
  "sync-request" | "forward-call" | "hand-over-part"
>;
export type MeshReply = MessageOf<
  "sync-reply" | "forward-answer" | "hand-over-acknowledgement"
>;
