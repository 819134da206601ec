/**
 * Messages between entries, encoded with `cbor-x`: small ones are sent in
 * datagrams, larger ones in frames over TCP. A message that cannot be decoded
 * is rejected as a whole.
 */
import type { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import type { ToldPosition } from "@marigoldford/kernel/discovery_position";
import type {
  DiscoveryChange,
  DiscoveryListing,
} from "@marigoldford/kernel/discovery_state";
import type { MemberRecord } from "@marigoldford/kernel/fleet_members";
import type { RequestLimit } from "@marigoldford/kernel/server_restrictions";

/** How up to date the sender's discovery state is. */
export type DiscoveryFreshness = ToldPosition & {
  /** Version of the sender's snapshot; earlier builds do not tell it. */
  readonly snapshotVersion?: number;
  /** Time since the state was last known to be complete. */
  readonly ageMilliseconds: number;
};

/** What a run of a backend server says of itself. */
export type SharedStatement = {
  readonly id: string;
  readonly bornAtMilliseconds: number;
  readonly requestLimit: RequestLimit;
  /** Time since the server said so. */
  readonly ageMilliseconds: number;
};

export type FleetDatagram =
  | {
    readonly kind: "members";
    readonly from: string;
    /** The sender's record and recently changed ones. */
    readonly records: readonly MemberRecord[];
    /** Encoded by `heartbeat_codec.ts`. */
    readonly heartbeats: Uint8Array;
    /** Freshness of the sender's discovery state. */
    readonly news: DiscoveryFreshness;
    /** Whether the receiver is to reply with the members it knows. */
    readonly wantsReply: boolean;
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
    /** Whether the receiver forwards it to the peers of its failure domain. */
    readonly isForDomain: boolean;
  }
  | {
    readonly kind: "crash";
    readonly from: string;
    readonly fingerprint: string;
    readonly server: string;
  };

export type FleetFrame =
  | {
    readonly kind: "changes";
    /** The era of both revisions; earlier builds do not tell it. */
    readonly era?: number;
    readonly baseRevision: number;
    readonly revision: number;
    readonly changes: readonly DiscoveryChange[];
    readonly ageMilliseconds: number;
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
  };

export type MessageUnreadable = {
  readonly kind: "message-unreadable";
  readonly detail: string;
};

const DATAGRAM_KINDS = new Set([
  "members",
  "who",
  "news",
  "load",
  "statements",
  "crash",
]);
const FRAME_KINDS = new Set(["changes", "reading-request", "reading"]);

export function encodeFleetMessage(
  message: FleetDatagram | FleetFrame,
): Buffer {
  return encode(message);
}

export function decodeDatagram(
  bytes: Uint8Array,
): Result<FleetDatagram, MessageUnreadable> {
  return decodeKind(bytes, DATAGRAM_KINDS).map((value) =>
    value as FleetDatagram
  );
}

export function decodeFleetFrame(
  bytes: Uint8Array,
): Result<FleetFrame, MessageUnreadable> {
  return decodeKind(bytes, FRAME_KINDS).map((value) => value as FleetFrame);
}

function decodeKind(
  bytes: Uint8Array,
  kinds: ReadonlySet<string>,
): Result<unknown, MessageUnreadable> {
  let value: unknown;
  try {
    value = decode(bytes);
  } catch (error) {
    return err({ kind: "message-unreadable", detail: String(error) });
  }
  const kind = (value as { kind?: unknown } | null)?.kind;
  if (typeof kind === "string" && kinds.has(kind)) return ok(value);
  return err({ kind: "message-unreadable", detail: `kind ${String(kind)}` });
}
