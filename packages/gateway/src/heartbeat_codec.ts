/**
 * Compact encoding of heartbeats in membership datagrams.
 *
 * A heartbeat is the member's tag (4 bytes), counter (4 bytes) and state
 * (1 byte). The rest of a member's record is sent only to entries that do not
 * have it.
 */
import { Buffer } from "node:buffer";
import type { MemberHeartbeat } from "@marigoldford/kernel/fleet_members";
import type { EntryState } from "@marigoldford/kernel/types";
import { TAG_BYTES } from "./short_tag.ts";

const COUNTER_BYTES = 4;
const HEARTBEAT_BYTES = TAG_BYTES + COUNTER_BYTES + 1;
/** The index of a state is part of the message format. */
const STATES: readonly EntryState[] = [
  "starting",
  "serving",
  "leaving",
  "stopped",
];

export function encodeHeartbeats(
  heartbeats: readonly MemberHeartbeat[],
): Buffer {
  const buffer = Buffer.allocUnsafe(heartbeats.length * HEARTBEAT_BYTES);
  heartbeats.forEach(({ tag, counter, state }, index) => {
    const offset = index * HEARTBEAT_BYTES;
    buffer.writeUInt32BE(tag, offset);
    buffer.writeUInt32BE(counter, offset + TAG_BYTES);
    buffer.writeUInt8(
      STATES.indexOf(state),
      offset + TAG_BYTES + COUNTER_BYTES,
    );
  });
  return buffer;
}

/** Skips heartbeats whose state this version does not know. */
export function decodeHeartbeats(bytes: Uint8Array): MemberHeartbeat[] {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const heartbeats: MemberHeartbeat[] = [];
  const last = buffer.byteLength - HEARTBEAT_BYTES;
  for (let offset = 0; offset <= last; offset += HEARTBEAT_BYTES) {
    const state = STATES[buffer.readUInt8(offset + TAG_BYTES + COUNTER_BYTES)];
    if (state === undefined) continue;
    heartbeats.push({
      tag: buffer.readUInt32BE(offset),
      counter: buffer.readUInt32BE(offset + TAG_BYTES),
      state,
    });
  }
  return heartbeats;
}
