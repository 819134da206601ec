/**
 * Structured lines on standard output: one JSON object a line.
 *
 * Writing never blocks the loop: at most one write is under way, lines wait in
 * a bounded buffer, and what does not fit is dropped and counted. Each kind of
 * event has its own rate; what goes beyond it is counted and the count is
 * written with the next line of that kind.
 */
import { write } from "node:fs";
import { Buffer } from "node:buffer";

export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export type EventLogOptions = {
  /** Monotonic clock for rates, in milliseconds. */
  readonly clock: () => number;
  /** Time of day for the lines, in Unix milliseconds. */
  readonly wallClock: () => number;
  /** Lines of one kind in a second at the most. */
  readonly linesPerSecond: number;
  /** Writes a chunk and calls back; by default to standard output. */
  readonly sink?: (chunk: Buffer, done: () => void) => void;
};

type KindRate = { tokens: number; at: number; suppressed: number };

const STANDARD_OUTPUT = 1;
/** Lines that wait for a stalled reader; beyond it they are dropped. */
const MOST_WAITING_BYTES = 256 * 1024;
const MILLISECONDS_IN_SECOND = 1_000;
/** A reader that is slow is asked again after this. */
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
  readonly #rates = new Map<string, KindRate>();
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #dropped = 0;

  constructor(options: EventLogOptions) {
    this.#options = options;
    this.#sink = options.sink ?? writeToStandardOutput;
  }

  /** Lines that were dropped because the reader stalled. */
  get droppedLines(): number {
    return this.#dropped;
  }

  /** Writes one line unless the kind is over its rate. */
  write(event: string, fields: EventFields): void {
    const rate = this.#rateOf(event);
    if (rate.tokens < 1) {
      rate.suppressed += 1;
      return;
    }
    rate.tokens -= 1;
    const suppressed = rate.suppressed === 0 ? undefined : rate.suppressed;
    rate.suppressed = 0;
    const time = new Date(this.#options.wallClock()).toISOString();
    this.#push(JSON.stringify({ time, event, ...fields, suppressed }) + "\n");
  }

  #rateOf(event: string): KindRate {
    const now = this.#options.clock();
    const most = this.#options.linesPerSecond;
    let rate = this.#rates.get(event);
    if (rate === undefined) {
      rate = { tokens: most, at: now, suppressed: 0 };
      this.#rates.set(event, rate);
    }
    const earned = (now - rate.at) * most / MILLISECONDS_IN_SECOND;
    rate.tokens = Math.min(most, rate.tokens + earned);
    rate.at = now;
    return rate;
  }

  #push(line: string): void {
    if (this.#waitingBytes + line.length > MOST_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    if (!this.#isWriting) setImmediate(() => this.#flush());
    this.#isWriting = true;
  }

  #flush(): void {
    if (this.#waiting.length === 0) {
      this.#isWriting = false;
      return;
    }
    const chunk = Buffer.from(this.#waiting.join(""));
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#sink(chunk, () => this.#flush());
  }
}
