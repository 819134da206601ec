/**
 * Structured log on standard output, one JSON object per line.
 *
 * Writing never blocks the event loop: at most one write is in progress, lines
 * are queued in a bounded buffer, and lines that do not fit are dropped and
 * counted. Each event has its own rate limit; suppressed lines are counted, and
 * the next line of the event states their number.
 */
import { write } from "node:fs";
import { Buffer } from "node:buffer";

export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export type EventLogOptions = {
  /** Monotonic clock for the rate limits, in milliseconds. */
  readonly clock: () => number;
  /** Time for the lines, in Unix milliseconds. */
  readonly wallClock: () => number;
  /** Maximum rate of the lines of each event. */
  readonly linesPerSecond: number;
  /** Writes a chunk and calls `done`; the default is standard output. */
  readonly sink?: (chunk: Buffer, done: () => void) => void;
};

type EventRateLimit = {
  tokens: number;
  refilledAtMilliseconds: number;
  suppressed: number;
};

const STANDARD_OUTPUT = 1;
/** With a stalled reader, lines beyond this are dropped. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;
const MILLISECONDS_IN_SECOND = 1_000;
/** A write to a pipe that is full is tried again after this. */
const STALL_RETRY_MILLISECONDS = 50;

function writeToStandardOutput(chunk: Buffer, done: () => void): void {
  write(STANDARD_OUTPUT, chunk, (error, written) => {
    const isStalled = error !== null && error.code === "EAGAIN";
    const rest = chunk.subarray(error === null ? written : 0);
    if (rest.byteLength === 0 || (error !== null && !isStalled)) return done();
    setTimeout(
      () => writeToStandardOutput(rest, done),
      STALL_RETRY_MILLISECONDS,
    ).unref();
  });
}

export class EventLog {
  readonly #options: EventLogOptions;
  readonly #sink: (chunk: Buffer, done: () => void) => void;
  readonly #rateLimits = new Map<string, EventRateLimit>();
  #bufferedLines: string[] = [];
  #bufferedBytes = 0;
  #isWriting = false;
  #droppedLines = 0;

  constructor(options: EventLogOptions) {
    this.#options = options;
    this.#sink = options.sink ?? writeToStandardOutput;
  }

  /** Number of lines dropped because the reader stalled. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Writes one line unless the event is over its rate limit. */
  write(event: string, fields: EventFields): void {
    const rate = this.#rateLimitOf(event);
    if (rate.tokens < 1) {
      rate.suppressed += 1;
      return;
    }
    rate.tokens -= 1;
    const suppressed = rate.suppressed === 0 ? undefined : rate.suppressed;
    rate.suppressed = 0;
    const time = new Date(this.#options.wallClock()).toISOString();
    this.#enqueue(
      JSON.stringify({ time, event, ...fields, suppressed }) + "\n",
    );
  }

  #rateLimitOf(event: string): EventRateLimit {
    const now = this.#options.clock();
    const limit = this.#options.linesPerSecond;
    let rate = this.#rateLimits.get(event);
    if (rate === undefined) {
      rate = { tokens: limit, refilledAtMilliseconds: now, suppressed: 0 };
      this.#rateLimits.set(event, rate);
    }
    const refilled = (now - rate.refilledAtMilliseconds) * limit /
      MILLISECONDS_IN_SECOND;
    rate.tokens = Math.min(limit, rate.tokens + refilled);
    rate.refilledAtMilliseconds = now;
    return rate;
  }

  #enqueue(line: string): void {
    if (this.#bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
      this.#droppedLines += 1;
      return;
    }
    this.#bufferedLines.push(line);
    this.#bufferedBytes += line.length;
    if (!this.#isWriting) setImmediate(() => this.#flush());
    this.#isWriting = true;
  }

  #flush(): void {
    if (this.#bufferedLines.length === 0) {
      this.#isWriting = false;
      return;
    }
    const chunk = Buffer.from(this.#bufferedLines.join(""));
    this.#bufferedLines = [];
    this.#bufferedBytes = 0;
    this.#sink(chunk, () => this.#flush());
  }
}
