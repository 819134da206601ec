/**
 * Frames of a mesh connection: a four-byte big-endian length, then a payload of
 * that many bytes. A length above the limit is an error before any of the
 * payload is buffered.
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";

export const FRAME_HEADER_BYTES = 4;
export const MAXIMUM_PAYLOAD_BYTES = 4 * 1024 * 1024;

export type FrameTooLong = {
  readonly kind: "frame-too-long";
  readonly payloadBytes: number;
  readonly maximumPayloadBytes: number;
};

/** Prefixes a payload with its length. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.byteLength);
  frame.writeUInt32BE(payload.byteLength, 0);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/** Splits a stream of chunks into payloads. */
export class FrameDecoder {
  readonly #maximumPayloadBytes: number;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  constructor(maximumPayloadBytes: number = MAXIMUM_PAYLOAD_BYTES) {
    this.#maximumPayloadBytes = maximumPayloadBytes;
  }

  /** Adds a chunk and returns the payloads that it completes. */
  push(chunk: Buffer): Result<Buffer[], FrameTooLong> {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.byteLength;
    const payloads: Buffer[] = [];
    while (this.#bufferedBytes >= FRAME_HEADER_BYTES) {
      const length = this.#peekLength();
      if (length > this.#maximumPayloadBytes) return err(this.#tooLong(length));
      if (this.#bufferedBytes < FRAME_HEADER_BYTES + length) break;
      payloads.push(this.#takePayload(length));
    }
    return ok(payloads);
  }

  #tooLong(payloadBytes: number): FrameTooLong {
    return {
      kind: "frame-too-long",
      payloadBytes,
      maximumPayloadBytes: this.#maximumPayloadBytes,
    };
  }

  #peekLength(): number {
    if (this.#chunks[0].byteLength < FRAME_HEADER_BYTES) this.#joinChunks();
    return this.#chunks[0].readUInt32BE(0);
  }

  #takePayload(length: number): Buffer {
    const frameBytes = FRAME_HEADER_BYTES + length;
    if (this.#chunks[0].byteLength < frameBytes) this.#joinChunks();
    const head = this.#chunks[0];
    this.#bufferedBytes -= frameBytes;
    if (head.byteLength === frameBytes) this.#chunks.shift();
    else this.#chunks[0] = head.subarray(frameBytes);
    return head.subarray(FRAME_HEADER_BYTES, frameBytes);
  }

  #joinChunks(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}
