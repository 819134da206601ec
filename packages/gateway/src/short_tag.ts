/**
 * Short names of backend servers and entries in messages between entries.
 */
import { createHash } from "node:crypto";

/** Bytes of a tag in a message. */
export const TAG_BYTES = 4;

/** A 32-bit tag of an id; every entry computes the same one. */
export function shortTag(id: string): number {
  return createHash("sha1").update(id).digest().readUInt32BE(0);
}
