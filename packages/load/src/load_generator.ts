/**
 * Open-loop load generator: calls start at the times of a Poisson process,
 * whether or not earlier calls were answered, and latency is measured from the
 * scheduled start. A slow system thus cannot hide its queueing delay by slowing
 * down its callers (coordinated omission).
 */
import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export type LoadGeneratorOptions = {
  /** Each call goes to one of these, chosen uniformly at random. */
  readonly addresses: readonly string[];
  readonly path: string;
  readonly callsPerSecond: number;
  readonly seconds: number;
  /** Calls scheduled in the first seconds are sent but not counted. */
  readonly warmUpSeconds: number;
  readonly deadlineMilliseconds: number;
  readonly seed: number;
};

export type LoadResult = {
  readonly calls: number;
  /** Complete answers of a backend server with a status below 500. */
  readonly answered: number;
  /** Complete answers of a backend server with a status of 500 or above. */
  readonly errors: number;
  /** Complete answers whose outcome header is not `answered`. */
  readonly refused: number;
  /** Calls without a complete answer. */
  readonly lost: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p999Milliseconds: number;
};

type CallOutcome = "answered" | "errors" | "refused" | "lost";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_LATENCY_MICROSECONDS = 120_000_000;

/** Sends calls at the given rate and summarizes their outcomes and latencies. */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #random: () => number;
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  readonly #outcomeCounts: Record<CallOutcome, number> = {
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
    const countFromAt = startedAt + warmUpSeconds * MILLISECONDS_PER_SECOND;
    const endAt = countFromAt + seconds * MILLISECONDS_PER_SECOND;
    let scheduledAt = startedAt;
    while (scheduledAt < endAt) {
      const now = performance.now();
      while (scheduledAt <= now && scheduledAt < endAt) {
        this.#send(scheduledAt, scheduledAt >= countFromAt);
        scheduledAt += this.#sampleGapMilliseconds();
      }
      await sleep(Math.max(0, Math.min(scheduledAt - performance.now(), 5)));
    }
    while (this.#inFlight > 0) await sleep(5);
    this.#agent.destroy();
    return this.#result();
  }

  #sampleGapMilliseconds(): number {
    const mean = MILLISECONDS_PER_SECOND / this.#options.callsPerSecond;
    return -Math.log(1 - this.#random()) * mean;
  }

  #send(scheduledAt: number, isCounted: boolean): void {
    const { addresses, path, deadlineMilliseconds } = this.#options;
    const address = addresses[Math.floor(this.#random() * addresses.length)];
    this.#inFlight += 1;
    this.#sequence += 1;
    const outgoing = request(`http://${address}${path}/${this.#sequence}`, {
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
        if (!response.complete) finish("lost");
        else if (isRefusal) finish("refused");
        else finish(isError ? "errors" : "answered");
      });
    });
    let isFinished = false;
    const finish = (outcome: CallOutcome) => {
      if (isFinished) return;
      isFinished = true;
      this.#inFlight -= 1;
      if (isCounted) this.#count(outcome, performance.now() - scheduledAt);
    };
    outgoing.once("error", () => finish("lost"));
    outgoing.end();
  }

  #count(outcome: CallOutcome, latencyMilliseconds: number): void {
    this.#outcomeCounts[outcome] += 1;
    const value = Math.round(
      latencyMilliseconds * MICROSECONDS_PER_MILLISECOND,
    );
    this.#histogram.recordValue(Math.min(value, MAXIMUM_LATENCY_MICROSECONDS));
  }

  #result(): LoadResult {
    const latencyMilliseconds = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) /
      MICROSECONDS_PER_MILLISECOND;
    return {
      ...this.#outcomeCounts,
      calls: this.#histogram.totalCount,
      p50Milliseconds: latencyMilliseconds(50),
      p99Milliseconds: latencyMilliseconds(99),
      p999Milliseconds: latencyMilliseconds(99.9),
    };
  }
}
