/**
 * Open-loop load: calls start at random moments that do not wait for earlier
 * answers, and latency counts from the intended moment. A slow system then
 * cannot hide its queue by slowing its callers down (coordinated omission).
 */
import { Agent, request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export type LoadGeneratorOptions = {
  /** Addresses to which calls are spread evenly at random. */
  readonly addresses: readonly string[];
  readonly path: string;
  readonly callsPerSecond: number;
  readonly seconds: number;
  /** Calls of the first seconds are sent and not counted. */
  readonly warmUpSeconds: number;
  readonly deadlineMilliseconds: number;
  readonly seed: number;
};

export type LoadResult = {
  readonly calls: number;
  /** Whole answers with a status below 500. */
  readonly answered: number;
  readonly errors: number;
  readonly refused: number;
  readonly lost: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p999Milliseconds: number;
};

type Ending = "answered" | "errors" | "refused" | "lost";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const HIGHEST_MICROSECONDS = 120_000_000;

/** Sends one schedule of calls and sums up. */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #random: () => number;
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  readonly #endings: Record<Ending, number> = {
    answered: 0,
    errors: 0,
    refused: 0,
    lost: 0,
  };
  #inFlight = 0;
  #sequence = 0;

  constructor(options: LoadGeneratorOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
  }

  /** Resolves when every call has ended. */
  async run(): Promise<LoadResult> {
    const { seconds, warmUpSeconds } = this.#options;
    const startedAt = performance.now();
    const countFrom = startedAt + warmUpSeconds * MILLISECONDS_PER_SECOND;
    const endAt = countFrom + seconds * MILLISECONDS_PER_SECOND;
    let due = startedAt;
    while (due < endAt) {
      const now = performance.now();
      while (due <= now && due < endAt) {
        this.#send(due, due >= countFrom);
        due += this.#gapMilliseconds();
      }
      await pause(Math.max(0, Math.min(due - performance.now(), 5)));
    }
    while (this.#inFlight > 0) await pause(5);
    this.#agent.destroy();
    return this.#result();
  }

  #gapMilliseconds(): number {
    const mean = MILLISECONDS_PER_SECOND / this.#options.callsPerSecond;
    return -Math.log(1 - this.#random()) * mean;
  }

  #send(due: number, counts: boolean): void {
    const { addresses, path, deadlineMilliseconds } = this.#options;
    const address = addresses[Math.floor(this.#random() * addresses.length)];
    this.#inFlight += 1;
    this.#sequence += 1;
    const sent = request(`http://${address}${path}/${this.#sequence}`, {
      agent: this.#agent,
      headers: {
        "Marigoldford-Deadline-Milliseconds": String(deadlineMilliseconds),
      },
    }, (response) => {
      response.resume();
      response.once("close", () => {
        const isRefusal =
          (response.headers["marigoldford-outcome"] ?? "answered") !==
            "answered";
        const isError = (response.statusCode ?? 0) >= 500;
        if (!response.complete) end("lost");
        else if (isRefusal) end("refused");
        else end(isError ? "errors" : "answered");
      });
    });
    let isEnded = false;
    const end = (ending: Ending) => {
      if (isEnded) return;
      isEnded = true;
      this.#inFlight -= 1;
      if (counts) this.#count(ending, performance.now() - due);
    };
    sent.once("error", () => end("lost"));
    sent.end();
  }

  #count(ending: Ending, milliseconds: number): void {
    this.#endings[ending] += 1;
    const value = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    this.#histogram.recordValue(Math.min(value, HIGHEST_MICROSECONDS));
  }

  #result(): LoadResult {
    const at = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) /
      MICROSECONDS_PER_MILLISECOND;
    return {
      ...this.#endings,
      calls: this.#histogram.totalCount,
      p50Milliseconds: at(50),
      p99Milliseconds: at(99),
      p999Milliseconds: at(99.9),
    };
  }
}
