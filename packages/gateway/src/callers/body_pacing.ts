/**
 * Paces the reading of request bodies, so that no caller takes the time or the
 * memory of others.
 *
 * A received block of 64 KiB may hold 10,000 chunks of one byte, and Node reads
 * up to 32 blocks of a connection in a row. Small chunks are merged while they
 * are parsed. For chunks that take time to parse, and for bytes that are read
 * only to be discarded, connections wait for their turn.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setImmediate } from "node:timers";
import { WorkTurns } from "@marigoldford/kernel/work_turns";
import { MergedChunks } from "./merged_chunks.ts";
import type { ReadingTurns } from "./reading_turns.ts";

export type BodyPacingOptions = {
  readonly clock: () => number;
  readonly readingTurns: ReadingTurns;
  readonly smallChunksPerSecond?: number;
};

/** About a quarter of a slow core. */
const DEFAULT_SMALL_CHUNKS_PER_SECOND = 50_000;
/** A body of the size that is held in memory is read at once. */
const SAVED_SMALL_CHUNKS = 100_000;
/** Chunks of a connection that are counted together. */
const COUNTED_CHUNKS = 1_024;
/** Chunks that are not counted, between two turns of the event loop. */
const FREE_CHUNKS = 64;
/** Discarded bytes are garbage, which is collected later. */
const DISCARDED_BYTES_PER_SECOND = 16 * 1_024 * 1_024;
const SAVED_DISCARDED_BYTES = 4 * 1_024 * 1_024;

export class BodyPacing {
  readonly #readingTurns: ReadingTurns;
  readonly #chunkTurns: WorkTurns;
  readonly #discardTurns: WorkTurns;
  /** Chunks of a connection, also of several requests, not counted so far. */
  readonly #chunks = new WeakMap<Socket, number>();

  constructor(options: BodyPacingOptions) {
    const {
      clock,
      readingTurns,
      smallChunksPerSecond = DEFAULT_SMALL_CHUNKS_PER_SECOND,
    } = options;
    this.#readingTurns = readingTurns;
    this.#chunkTurns = new WorkTurns({
      clock,
      unitsPerSecond: smallChunksPerSecond,
      savedUnits: SAVED_SMALL_CHUNKS,
    });
    this.#discardTurns = new WorkTurns({
      clock,
      unitsPerSecond: DISCARDED_BYTES_PER_SECOND,
      savedUnits: SAVED_DISCARDED_BYTES,
    });
  }

  /** Must be called before any of the body is read. */
  attach(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const push = request.push.bind(request);
    const merged = new MergedChunks();
    let isFlushScheduled = false;

    const flush = () => {
      const bytes = merged.take();
      return bytes === undefined || push(bytes);
    };
    const endBlock = () => {
      isFlushScheduled = false;
      if (!flush()) socket.pause();
      this.#countChunks(socket);
    };
    /** Returns whether the parser may go on with the next block. */
    const take = (chunk: Buffer): boolean => {
      if (!isFlushScheduled) {
        isFlushScheduled = true;
        // Ticks run after each chunk.
        setImmediate(endBlock);
      }
      const chunks = (this.#chunks.get(socket) ?? 0) + 1;
      this.#chunks.set(socket, chunks);
      const mayReadOn = chunks < COUNTED_CHUNKS || this.#countChunks(socket);
      if (merged.add(chunk)) return mayReadOn;
      const hasRoom = flush();
      return (merged.add(chunk) ? hasRoom : push(chunk)) && mayReadOn;
    };
    request.push = (chunk: Buffer | null) => {
      if (chunk === null) {
        flush();
        return push(null);
      }
      const mayReadOn = !response.headersSent ||
        this.#readingTurns.mayReadOn(
          socket,
          this.#discardTurns.take(chunk.byteLength),
        );
      return take(chunk) && mayReadOn;
    };
  }

  #countChunks(socket: Socket): boolean {
    const chunks = (this.#chunks.get(socket) ?? 0) - FREE_CHUNKS;
    this.#chunks.delete(socket);
    const wait = chunks > 0 ? this.#chunkTurns.take(chunks) : 0;
    return this.#readingTurns.mayReadOn(socket, wait);
  }
}
