/**
 * Compact blocks of heartbeats, as membership datagrams carry them.
 *
 * A heartbeat takes four bytes of the member's tag, four of its counter and
 * one of its state; the rest of a member's record is passed on only to those
 * that do not know it.
 */
import { Buffer } from "node:buffer";
import type { MemberHeartbeat } from "@marigoldford/kernel/fleet_members";
import type { EntryState } from "@marigoldford/kernel/types";
import { TAG_BYTES } from "./short_tag.ts";

const COUNTER_BYTES = 4;
const HEARTBEAT_BYTES = TAG_BYTES + COUNTER_BYTES + 1;
/** The order is part of the message format. */
const STATES: readonly EntryState[] = [
  "starting",
  "serving",
  "leaving",
  "stopped",
];

export function encodeHeartbeats(
  heartbeats: readonly MemberHeartbeat[],
): Buffer {
  const block = Buffer.allocUnsafe(heartbeats.length * HEARTBEAT_BYTES);
  heartbeats.forEach(({ tag, counter, state }, index) => {
    const at = index * HEARTBEAT_BYTES;
    block.writeUInt32BE(tag, at);
    block.writeUInt32BE(counter, at + TAG_BYTES);
    block.writeUInt8(STATES.indexOf(state), at + TAG_BYTES + COUNTER_BYTES);
  });
  return block;
}

/** A heartbeat whose state this build does not know is left out. */
export function decodeHeartbeats(bytes: Uint8Array): MemberHeartbeat[] {
  const block = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const heartbeats: MemberHeartbeat[] = [];
  const last = block.byteLength - HEARTBEAT_BYTES;
  for (let at = 0; at <= last; at += HEARTBEAT_BYTES) {
    const state = STATES[block.readUInt8(at + TAG_BYTES + COUNTER_BYTES)];
    if (state === undefined) continue;
    heartbeats.push({
      tag: block.readUInt32BE(at),
      counter: block.readUInt32BE(at + TAG_BYTES),
      state,
    });
  }
  return heartbeats;
}
