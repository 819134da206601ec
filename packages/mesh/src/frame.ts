/**
 * Frames on a mesh connection: a four-byte big-endian length, then that many
 * bytes. A length beyond the bound ends the connection before any of its
 * bytes are kept.
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";

export const FRAME_HEADER_BYTES = 4;
export const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

export type FrameTooLong = {
  readonly kind: "frame-too-long";
  readonly givenBytes: number;
  readonly mostBytes: number;
};

/** Puts the length before a payload. */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.byteLength);
  frame.writeUInt32BE(payload.byteLength, 0);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/** Cuts a stream of chunks into payloads. */
export class FrameDecoder {
  readonly #mostBytes: number;
  #chunks: Buffer[] = [];
  #buffered = 0;

  constructor(mostBytes: number = MAXIMUM_FRAME_BYTES) {
    this.#mostBytes = mostBytes;
  }

  /** Takes a chunk and returns the payloads that it completes. */
  push(chunk: Buffer): Result<Buffer[], FrameTooLong> {
    this.#chunks.push(chunk);
    this.#buffered += chunk.byteLength;
    const payloads: Buffer[] = [];
    while (this.#buffered >= FRAME_HEADER_BYTES) {
      const length = this.#peekLength();
      if (length > this.#mostBytes) return err(this.#tooLong(length));
      if (this.#buffered < FRAME_HEADER_BYTES + length) break;
      payloads.push(this.#take(length));
    }
    return ok(payloads);
  }

  #tooLong(givenBytes: number): FrameTooLong {
    return { kind: "frame-too-long", givenBytes, mostBytes: this.#mostBytes };
  }

  #peekLength(): number {
    if (this.#chunks[0].byteLength < FRAME_HEADER_BYTES) this.#join();
    return this.#chunks[0].readUInt32BE(0);
  }

  #take(length: number): Buffer {
    const whole = FRAME_HEADER_BYTES + length;
    if (this.#chunks[0].byteLength < whole) this.#join();
    const head = this.#chunks[0];
    this.#buffered -= whole;
    if (head.byteLength === whole) this.#chunks.shift();
    else this.#chunks[0] = head.subarray(whole);
    return head.subarray(FRAME_HEADER_BYTES, whole);
  }

  #join(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}
