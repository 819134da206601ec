/**
 * Small chunks of a body, merged into one buffer. Node's parser delivers each
 * chunk as a buffer of its own, which takes much more memory than its bytes and
 * is queued and written by itself.
 */
import { Buffer } from "node:buffer";

/** Larger chunks are not merged. */
const SMALL_CHUNK_BYTES = 1_024;
const MERGED_BYTES = 16 * 1_024;

export class MergedChunks {
  #first: Buffer | undefined;
  #buffer: Buffer | undefined;
  #bytes = 0;

  /** Returns false if the chunk is large or does not fit. */
  add(chunk: Buffer): boolean {
    if (chunk.byteLength > SMALL_CHUNK_BYTES) return false;
    // The first is copied only if a second one follows.
    if (this.#first === undefined) {
      this.#first = chunk;
      this.#bytes = chunk.byteLength;
      return true;
    }
    if (this.#bytes + chunk.byteLength > MERGED_BYTES) return false;
    if (this.#buffer === undefined) {
      this.#buffer = Buffer.allocUnsafeSlow(MERGED_BYTES);
      this.#buffer.set(this.#first);
    }
    this.#buffer.set(chunk, this.#bytes);
    this.#bytes += chunk.byteLength;
    return true;
  }

  take(): Buffer | undefined {
    const bytes = this.#buffer?.subarray(0, this.#bytes) ?? this.#first;
    this.#first = undefined;
    this.#buffer = undefined;
    this.#bytes = 0;
    return bytes;
  }
}
