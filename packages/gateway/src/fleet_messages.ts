/**
 * Messages between entries, encoded with `cbor-x`: small ones are sent in
 * datagrams, larger ones in frames over TCP.
 *
 * Decoded messages are checked field by field. One that cannot be read is
 * rejected as a whole; of a list, only the items that cannot be used are left
 * out. Unknown fields are ignored, so that later builds may add some.
 */
import type { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decode, encode } from "cbor-x";
import { err, ok, Result } from "neverthrow";
import type { ToldPosition } from "@marigoldford/kernel/discovery_position";
import type {
  DiscoveryChange,
  DiscoveryListing,
} from "@marigoldford/kernel/discovery_state";
import type { ToldEvacuation } from "@marigoldford/kernel/evacuations";
import {
  type JsonObject,
  malformed,
  readArray,
  readBoolean,
  readInteger,
  readNumber,
  readObject,
  readOneOf,
  type ValueMalformed,
} from "@marigoldford/kernel/field_readers";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import {
  readAddress,
  readName,
  readOptional,
  readSequence,
} from "@marigoldford/kernel/foreign_fields";
import {
  readChange,
  readEvacuation,
  readSnapshotDifference,
} from "@marigoldford/kernel/foreign_state";
import type { SnapshotDifference } from "@marigoldford/kernel/snapshot_difference";
import type { RequestLimit } from "@marigoldford/kernel/server_restrictions";
import type { Departure } from "@marigoldford/kernel/transit_delay";
import type { EntryState, ServiceName } from "@marigoldford/kernel/types";
import { readSlotFields, type SlotDatagram } from "./slot_messages.ts";

/** How up to date the sender's discovery state is. */
export type DiscoveryFreshness = ToldPosition & {
  /** Version of the sender's snapshot; earlier builds do not tell it. */
  readonly snapshotVersion?: number;
  /** Time since the state was last known to be complete, at the departure. */
  readonly ageMilliseconds: number;
  /** When the message was sent; earlier builds do not tell it. */
  readonly departure?: Departure;
};

/** What a run of a backend server says of itself. */
export type SharedStatement = {
  readonly id: string;
  readonly bornAtMilliseconds: number;
  readonly requestLimit: RequestLimit;
  /** Time since the server said so. */
  readonly ageMilliseconds: number;
};

/** A run of a backend server that says that it leaves. */
export type SharedLeaving = {
  readonly id: string;
  readonly bornAtMilliseconds: number;
  /** Time since the server said so first. */
  readonly ageMilliseconds: number;
};

/** Whether an entry that was asked reaches a server. */
export type SharedFinding = {
  readonly server: string;
  readonly isReached: boolean;
};

export type FleetDatagram =
  | SlotDatagram
  | {
    readonly kind: "members";
    readonly from: string;
    /** The sender's record and recently changed ones. */
    readonly records: readonly MemberRecord[];
    /** Encoded by `heartbeat_codec.ts`. */
    readonly heartbeats: Uint8Array;
    /** Freshness of the sender's discovery state. */
    readonly news: DiscoveryFreshness;
    /**
     * Evacuations in force, and those that have ended lately. They are repeated
     * here as earlier builds, which do not tell them, leave them out of the
     * changes that they forward.
     */
    readonly evacuations?: readonly ToldEvacuation[];
    /** Whether the receiver is to reply with the members it knows. */
    readonly wantsReply: boolean;
    /**
     * Whether the receiver forwards the records to the peers of its failure
     * domain. Earlier builds neither tell nor do it.
     */
    readonly isForDomain?: boolean;
  }
  | {
    /** Requests the records of members that the sender does not know. */
    readonly kind: "who";
    readonly from: string;
    readonly tags: readonly number[];
  }
  | {
    readonly kind: "news";
    readonly from: string;
    readonly news: DiscoveryFreshness;
    /**
     * Whether the receiver forwards it to the peers of its failure domain.
     * Earlier builds neither tell nor do it.
     */
    readonly isForDomain?: boolean;
  }
  | {
    readonly kind: "load";
    readonly from: string;
    /** Encoded by `load_codec.ts`, as is `reports`. */
    readonly inFlight: Uint8Array;
    readonly reports: Uint8Array;
    /** Whether the receiver forwards it to the peers of its failure domain. */
    readonly isForDomain: boolean;
  }
  | {
    readonly kind: "statements";
    readonly from: string;
    readonly statements: readonly SharedStatement[];
    /** Earlier builds do not tell it. */
    readonly leaving?: readonly SharedLeaving[];
    readonly departure?: Departure;
    /** Whether the receiver forwards it to the peers of its failure domain. */
    readonly isForDomain: boolean;
  }
  | {
    readonly kind: "reach";
    readonly from: string;
    /** Services whose servers the sender does not reach. */
    readonly unreached: readonly ServiceName[];
    /** Ids of servers that the receiver is asked to try to reach. */
    readonly asks?: readonly string[];
    /**
     * Whether these servers were silent for as long as a request may take, so
     * that silence towards the receiver is a finding. Earlier builds ignore it
     * and say nothing of a silent server.
     */
    readonly isAfterSilence?: boolean;
    /** The findings that the receiver has asked for. */
    readonly findings?: readonly SharedFinding[];
    /**
     * Whether the receiver forwards it to the peers of its failure domain.
     * Earlier builds neither tell nor do it.
     */
    readonly isForDomain?: boolean;
  }
  | {
    readonly kind: "crash";
    readonly from: string;
    readonly fingerprint: string;
    /** Address of the server. */
    readonly server: string;
    /**
     * Time since the attempt began and since its connection broke, if entries
     * agree that the server is down. Earlier builds ask no others.
     */
    readonly judged?: {
      readonly startAgeMilliseconds: number;
      readonly breakAgeMilliseconds: number;
    };
  };

export type FleetFrame =
  | {
    readonly kind: "update";
    /** The era of both revisions; earlier builds do not tell it. */
    readonly era?: number;
    readonly baseRevision: number;
    readonly revision: number;
    readonly changes: readonly DiscoveryChange[];
    /** Number of evacuations among the changes; earlier builds tell none. */
    readonly evacuationCount?: number;
    /** In place of a snapshot among the changes, if the base is known. */
    readonly snapshotDifference?: SnapshotDifference;
    readonly ageMilliseconds: number;
    readonly departure?: Departure;
    /** Whether the changes are everything that exists at the revision. */
    readonly isListing?: boolean;
    /** Whether the receiver forwards it to the peers of its failure domain. */
    readonly isForDomain?: boolean;
  }
  /** Requests a complete listing of the discovery state. */
  | { readonly kind: "reading-request" }
  | {
    readonly kind: "reading";
    readonly reading: DiscoveryListing;
    readonly ageMilliseconds: number;
    readonly departure?: Departure;
  };

export type MessageUnreadable = {
  readonly kind: "message-unreadable";
  readonly detail: string;
};

/** Is told why an item of a list is left out of a message. */
export type OnIgnored = (error: ValueMalformed) => void;

const DATAGRAM_KINDS: readonly FleetDatagram["kind"][] = [
  "members",
  "who",
  "news",
  "load",
  "statements",
  "reach",
  "crash",
  "slots",
];
const FRAME_KINDS: readonly FleetFrame["kind"][] = [
  "update",
  "reading-request",
  "reading",
];
const DEFLATED_KIND = "deflated";
/** Smaller frames fit a few packets. */
const MINIMUM_DEFLATED_BYTES = 8 * 1024;
const DEFLATE_LEVEL = 1;
/** Far beyond the state of any fleet. */
const MAXIMUM_INFLATED_BYTES = 64 * 1024 * 1024;
const ENTRY_STATES: readonly EntryState[] = [
  "starting",
  "serving",
  "leaving",
  "stopped",
];
const MAXIMUM_TAG = 0xffffffff;

export function encodeDatagram(datagram: FleetDatagram): Buffer {
  return encode(datagram);
}

/** A large frame is deflated, as a listing repeats most of its text. */
export function encodeFleetFrame(frame: FleetFrame): Buffer {
  const bytes = encode(frame);
  if (bytes.byteLength < MINIMUM_DEFLATED_BYTES) return bytes;
  const deflated = deflateRawSync(bytes, { level: DEFLATE_LEVEL });
  return encode({ kind: DEFLATED_KIND, bytes: deflated });
}

export function decodeDatagram(
  bytes: Uint8Array,
  onIgnored: OnIgnored = () => {},
): Result<FleetDatagram, MessageUnreadable> {
  return decodeObject(bytes).andThen((message) =>
    Result.combine([
      readOneOf(message.kind, "kind", DATAGRAM_KINDS),
      readName(message.from, "from"),
    ]).andThen(([kind, from]) =>
      readDatagramFields(kind, message, onIgnored).map((fields) =>
        ({ ...message, ...fields, kind, from }) as FleetDatagram
      )
    )
  ).mapErr(unreadable);
}

export function decodeFleetFrame(
  bytes: Uint8Array,
  onIgnored: OnIgnored = () => {},
): Result<FleetFrame, MessageUnreadable> {
  return decodeObject(bytes).andThen(inflated).andThen((message) =>
    readOneOf(message.kind, "kind", FRAME_KINDS).andThen((kind) =>
      readFrameFields(kind, message, onIgnored).map((fields) =>
        ({ ...message, ...fields, kind }) as FleetFrame
      )
    )
  ).mapErr(unreadable);
}

type Fields = Result<object, ValueMalformed>;

function decodeObject(bytes: Uint8Array): Result<JsonObject, ValueMalformed> {
  try {
    return readObject(decode(bytes), "message");
  } catch (error) {
    return err({ kind: "value-malformed", detail: String(error) });
  }
}

/** The message itself, or the one that it holds deflated. */
function inflated(message: JsonObject): Result<JsonObject, ValueMalformed> {
  if (message.kind !== DEFLATED_KIND) return ok(message);
  return readBytes(message.bytes, "bytes").andThen((bytes) => {
    try {
      const maxOutputLength = MAXIMUM_INFLATED_BYTES;
      return decodeObject(inflateRawSync(bytes, { maxOutputLength }));
    } catch (error) {
      return err<never, ValueMalformed>({
        kind: "value-malformed",
        detail: String(error),
      });
    }
  });
}

function unreadable({ detail }: ValueMalformed): MessageUnreadable {
  return { kind: "message-unreadable", detail };
}

function readDatagramFields(
  kind: FleetDatagram["kind"],
  message: JsonObject,
  onIgnored: OnIgnored,
): Fields {
  switch (kind) {
    case "members":
      return Result.combine([
        readUsable(message.records, "records", readMemberRecord, onIgnored),
        readBytes(message.heartbeats, "heartbeats"),
        readFreshness(message.news),
        readOptional(
          message,
          "evacuations",
          (value, path) => readUsable(value, path, readEvacuation, onIgnored),
        ),
        readOptional(message, "isForDomain", readBoolean),
      ]).map(([records, heartbeats, news, evacuations, isForDomain]) => ({
        records,
        heartbeats,
        news,
        ...evacuations,
        wantsReply: message.wantsReply === true,
        ...isForDomain,
      }));
    case "who":
      return readUsable(message.tags, "tags", readTag, onIgnored)
        .map((tags) => ({ tags }));
    case "news":
      return Result.combine([
        readFreshness(message.news),
        readOptional(message, "isForDomain", readBoolean),
      ]).map(([news, isForDomain]) => ({ news, ...isForDomain }));
    case "load":
      return Result.combine([
        readBytes(message.inFlight, "inFlight"),
        readBytes(message.reports, "reports"),
      ]).map(([inFlight, reports]) => ({
        inFlight,
        reports,
        isForDomain: message.isForDomain === true,
      }));
    case "statements":
      // Each statement is checked where it is recorded.
      return Result.combine([
        readArray(message.statements, "statements"),
        readOptional(message, "leaving", readArray),
        readOptional(message, "departure", readDeparture),
      ]).map(([statements, leaving, departure]) => ({
        statements,
        ...leaving,
        ...departure,
        isForDomain: message.isForDomain === true,
      }));
    case "reach":
      return Result.combine([
        readNames(message.unreached, "unreached", onIgnored),
        readOptional(
          message,
          "asks",
          (value, path) => readNames(value, path, onIgnored),
        ),
        readOptional(
          message,
          "findings",
          (value, path) => readUsable(value, path, readFinding, onIgnored),
        ),
        readOptional(message, "isForDomain", readBoolean),
        readOptional(message, "isAfterSilence", readBoolean),
      ]).map(([unreached, asks, findings, isForDomain, isAfterSilence]) => ({
        unreached,
        ...asks,
        ...isAfterSilence,
        ...findings,
        ...isForDomain,
      }));
    case "crash":
      return Result.combine([
        readName(message.fingerprint, "fingerprint"),
        readName(message.server, "server"),
        readOptional(message, "judged", readJudged),
      ]).map(([fingerprint, server, judged]) => ({
        fingerprint,
        server,
        ...judged,
      }));
    case "slots":
      return readSlotFields(message);
  }
}

function readFrameFields(
  kind: FleetFrame["kind"],
  message: JsonObject,
  onIgnored: OnIgnored,
): Fields {
  switch (kind) {
    case "update":
      return Result.combine([
        readOptional(message, "era", readInteger),
        readInteger(message.baseRevision, "baseRevision"),
        readInteger(message.revision, "revision"),
        readChanges(message.changes, onIgnored),
        readOptional(message, "evacuationCount", readInteger),
        readOptional(message, "snapshotDifference", readSnapshotDifference),
        readAge(message.ageMilliseconds),
        readOptional(message, "departure", readDeparture),
        readOptional(message, "isListing", readBoolean),
        readOptional(message, "isForDomain", readBoolean),
      ]).map((
        [
          era,
          baseRevision,
          revision,
          changes,
          evacuationCount,
          snapshotDifference,
          ageMilliseconds,
          departure,
          isListing,
          isForDomain,
        ],
      ) => ({
        ...era,
        baseRevision,
        revision,
        changes,
        ...evacuationCount,
        ...snapshotDifference,
        ageMilliseconds,
        ...departure,
        ...isListing,
        ...isForDomain,
      }));
    case "reading-request":
      return ok({});
    case "reading":
      return Result.combine([
        readListing(message.reading, onIgnored),
        readAge(message.ageMilliseconds),
        readOptional(message, "departure", readDeparture),
      ]).map(([reading, ageMilliseconds, departure]) => ({
        reading,
        ageMilliseconds,
        ...departure,
      }));
  }
}

function readListing(value: unknown, onIgnored: OnIgnored) {
  return readObject(value, "reading").andThen((reading) =>
    Result.combine([
      readOptional(reading, "era", readInteger),
      readInteger(reading.revision, "revision"),
      readChanges(reading.changes, onIgnored),
      readOptional(reading, "evacuationCount", readInteger),
    ]).map(([era, revision, changes, evacuationCount]) => ({
      ...era,
      revision,
      changes,
      ...evacuationCount,
    }))
  );
}

function readChanges(value: unknown, onIgnored: OnIgnored) {
  const read = (change: unknown) => readChange(change, onIgnored);
  return readUsable(value, "changes", read, onIgnored);
}

/** Reads a list and leaves out the items that cannot be used. */
function readUsable<Item>(
  value: unknown,
  path: string,
  readItem: (item: unknown) => Result<Item, ValueMalformed>,
  onIgnored: OnIgnored,
): Result<Item[], ValueMalformed> {
  return readArray(value, path).map((items) =>
    items.flatMap((item) =>
      readItem(item).match((usable) => [usable], (error) => {
        onIgnored(error);
        return [];
      })
    )
  );
}

function readFreshness(value: unknown) {
  return readObject(value, "news").andThen((news) =>
    Result.combine([
      readOptional(news, "era", readInteger),
      readInteger(news.revision, "revision"),
      readOptional(news, "snapshotVersion", readInteger),
      readAge(news.ageMilliseconds),
      readOptional(news, "departure", readDeparture),
    ]).map(([era, revision, snapshotVersion, ageMilliseconds, departure]) => ({
      ...era,
      revision,
      ...snapshotVersion,
      ageMilliseconds,
      ...departure,
    }))
  );
}

/** A state that was never complete is as old as can be. */
function readAge(value: unknown): Result<number, ValueMalformed> {
  const maximum = Number.MAX_SAFE_INTEGER;
  return readNumber(value, "ageMilliseconds", { maximum });
}

function readDeparture(
  value: unknown,
  path: string,
): Result<Departure, ValueMalformed> {
  return readObject(value, path).andThen((departure) =>
    Result.combine([
      readName(departure.clock, `${path}.clock`),
      readNumber(departure.atMilliseconds, `${path}.atMilliseconds`),
    ]).map(([clock, atMilliseconds]) => ({ clock, atMilliseconds }))
  );
}

function readMemberRecord(
  value: unknown,
): Result<MemberRecord, ValueMalformed> {
  return readObject(value, "record").andThen((record) =>
    Result.combine([
      readName(record.incarnation, "incarnation"),
      readAddress(record.callAddress, "callAddress"),
      readAddress(record.meshAddress, "meshAddress"),
      readAddress(record.datagramAddress, "datagramAddress"),
      readName(record.failureDomain, "failureDomain"),
      readOneOf(record.state, "state", ENTRY_STATES),
      readSequence(record.counter, "counter"),
    ]).map(([incarnation, call, mesh, datagram, domain, state, counter]) => ({
      incarnation,
      callAddress: call,
      meshAddress: mesh,
      datagramAddress: datagram,
      failureDomain: domain,
      state,
      counter,
    }))
  );
}

function readNames(value: unknown, path: string, onIgnored: OnIgnored) {
  return readUsable(value, path, (name) => readName(name, path), onIgnored);
}

function readFinding(value: unknown): Result<SharedFinding, ValueMalformed> {
  return readObject(value, "finding").andThen((finding) =>
    Result.combine([
      readName(finding.server, "server"),
      readBoolean(finding.isReached, "isReached"),
    ]).map(([server, isReached]) => ({ server, isReached }))
  );
}

function readJudged(value: unknown) {
  return readObject(value, "judged").andThen((judged) =>
    Result.combine([
      readAge(judged.startAgeMilliseconds),
      readAge(judged.breakAgeMilliseconds),
    ]).map(([startAgeMilliseconds, breakAgeMilliseconds]) => ({
      startAgeMilliseconds,
      breakAgeMilliseconds,
    }))
  );
}

function readTag(value: unknown): Result<number, ValueMalformed> {
  return readInteger(value, "tag", { maximum: MAXIMUM_TAG });
}

function readBytes(
  value: unknown,
  path: string,
): Result<Uint8Array, ValueMalformed> {
  return value instanceof Uint8Array
    ? ok(value)
    : malformed(path, value, "bytes");
}
