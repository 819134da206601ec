/**
 * Short identifiers of backend servers and entries in messages between entries.
 */
import { createHash } from "node:crypto";

export const TAG_BYTES = 4;

/** The first 32 bits of the SHA-1 of an id, the same at every entry. */
export function shortTag(id: string): number {
  return createHash("sha1").update(id).digest().readUInt32BE(0);
}
