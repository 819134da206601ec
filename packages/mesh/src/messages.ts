/**
 * Schemas of the messages between entries. A message that does not match is
 * rejected as a whole. Unknown fields are ignored, so that newer versions may
 * add fields.
 */
import * as Schema from "effect/Schema";
import { IP_ADDRESS } from "@marigoldford/kernel/address";
import { BUDGET_NAMES, LIMIT_NAMES } from "@marigoldford/kernel/intention";

export const MESH_VERSION = 1;

const MAXIMUM_NAME_CHARACTERS = 512;
const MAXIMUM_PATH_CHARACTERS = 16_384;
const MAXIMUM_LIST_ITEMS = 20_000;

const Name = Schema.String.check(Schema.isMaxLength(MAXIMUM_NAME_CHARACTERS));
/** Addresses to connect to. */
const Address = Schema.String.check(Schema.isPattern(IP_ADDRESS));
const Count = Schema.Int.check(
  Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
);
const Milliseconds = Schema.Finite;

function listOf<Item extends Schema.Top>(item: Item) {
  return Schema.Array(item).check(Schema.isMaxLength(MAXIMUM_LIST_ITEMS));
}

const EntryRecordSchema = Schema.Struct({
  incarnation: Name,
  callAddress: Address,
  meshAddress: Address,
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

const HeartbeatSchema = Schema.Struct({
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
    pathPrefix: Schema.String.check(
      Schema.isMaxLength(MAXIMUM_PATH_CHARACTERS),
    ),
  }),
  Schema.Struct({
    kind: Schema.Literal("backend-server"),
    service: Name,
    address: Address,
    failureDomain: Name,
    slots: Count,
    connections: Count,
  }),
  Schema.Struct({
    kind: Schema.Literal("protected"),
    service: Name,
    method: Name,
    pathPrefix: Schema.String.check(
      Schema.isMaxLength(MAXIMUM_PATH_CHARACTERS),
    ),
  }),
  Schema.Struct({ kind: Schema.Literal("retiring"), address: Address }),
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

/** The sender is the peer that sent the hello message on the connection. */
const Heartbeat = Schema.Struct({
  kind: Schema.Literal("heartbeat"),
  count: Count,
  state: EntryStateSchema,
  /** First characters of the digest of all intentions in force. */
  digest: Name,
  handOvers: Schema.optionalKey(listOf(HandOverSchema)),
});

const EntryRecords = Schema.Struct({
  kind: Schema.Literal("entry-records"),
  records: listOf(EntryRecordSchema),
});

/** Requests the records of entries that the sender knows by heartbeat only. */
const WhoIs = Schema.Struct({
  kind: Schema.Literal("who-is"),
  incarnations: listOf(Name),
});

const IntentionDigests = Schema.Struct({
  kind: Schema.Literal("intention-digests"),
  buckets: listOf(Name),
  /** Whether the receiver has to send its own digests in reply. */
  wantsReply: Schema.Boolean,
});

const Intentions = Schema.Struct({
  kind: Schema.Literal("intentions"),
  rows: listOf(IntentionRowSchema),
});

const LeavingServers = Schema.Struct({
  kind: Schema.Literal("leaving-servers"),
  /** Addresses, each with the time since its latest leaving signal. */
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
  beats: listOf(HeartbeatSchema),
  handOvers: listOf(HandOverSchema),
});

const ForwardCall = Schema.Struct({
  kind: Schema.Literal("forward-call"),
  id: Count,
  key: Name,
  method: Name,
  path: Schema.String.check(Schema.isMaxLength(MAXIMUM_PATH_CHARACTERS)),
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

/** Messages that expect a reply; `MeshReply` lists the replies in order. */
export type MeshRequest = MessageOf<
  "sync-request" | "forward-call" | "hand-over-part"
>;
export type MeshReply = MessageOf<
  "sync-reply" | "forward-answer" | "hand-over-acknowledgement"
>;
