/**
 * Counters and latency histograms of an entry, and their text format for
 * scrapers.
 */
import type { PlacementResult } from "@marigoldford/kernel/placement";
import type { PlacementInputs } from "./server_attempt.ts";
import { build, type Histogram } from "hdr-histogram-js";

type Outcome =
  | "answered"
  | "late"
  | "refused"
  | "failed"
  | "cut"
  | "caller-left";

/** Failure domain of the other end; unknown if no member has its address. */
export type TrafficDomain = "own" | "other" | "unknown";

const PERCENTILES = [50, 90, 99, 99.9];
const HIGHEST_MILLISECONDS = 60_000;
const PREFIX = "marigoldford";
/** Further routes share one histogram, which bounds the size of the page. */
const MAXIMUM_ROUTES = 50;
const OTHER_ROUTES = "other";

export class GatewayMetrics {
  readonly #outcomes = new Map<Outcome, number>();
  readonly #attemptFailures = new Map<string, number>();
  readonly #counters = new Map<string, number>();
  /** By name and labels. */
  readonly #bytes = new Map<string, number>();
  readonly #latency = new Map<string, Histogram>();

  recordAnswer(
    route: string,
    milliseconds: number,
    isLate: boolean,
  ): void {
    this.recordOutcome("answered");
    if (isLate) this.recordOutcome("late");
    this.#histogramOf(route).recordValue(
      Math.min(HIGHEST_MILLISECONDS, Math.max(1, Math.round(milliseconds))),
    );
  }

  recordOutcome(outcome: Outcome): void {
    this.#outcomes.set(outcome, this.outcomeCount(outcome) + 1);
  }

  outcomeCount(outcome: Outcome): number {
    return this.#outcomes.get(outcome) ?? 0;
  }

  recordAttemptFailure(evidence: string): void {
    const previous = this.#attemptFailures.get(evidence) ?? 0;
    this.#attemptFailures.set(evidence, previous + 1);
  }

  recordPlacement(result: PlacementResult["kind"]): void {
    this.incrementCounter(`placements_${result.replace("-", "_")}`);
  }

  /** Counts an attempt at a server that takes fewer requests than others. */
  recordAttempt({ requestLimit, isCold }: PlacementInputs): void {
    if (requestLimit !== undefined) {
      this.incrementCounter("requests_to_limited_servers");
    }
    if (isCold) this.incrementCounter("requests_to_cold_servers");
  }

  incrementCounter(name: string, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  recordPeerBytes(message: string, domain: TrafficDomain, bytes: number): void {
    const labels = `message="${message}",domain="${domain}"`;
    this.#addBytes(`peer_bytes_sent_total{${labels}}`, bytes);
  }

  recordServerBytes(
    content: string,
    domain: TrafficDomain,
    bytes: number,
  ): void {
    const labels = `content="${content}",domain="${domain}"`;
    this.#addBytes(`server_bytes_total{${labels}}`, bytes);
  }

  #addBytes(series: string, bytes: number): void {
    this.#bytes.set(series, (this.#bytes.get(series) ?? 0) + bytes);
  }

  /** The metrics page, with the given gauges. */
  text(gauges: Readonly<Record<string, number>>): string {
    const lines: string[] = [];
    for (const [outcome, count] of this.#outcomes) {
      lines.push(`${PREFIX}_requests_total{outcome="${outcome}"} ${count}`);
    }
    for (const [evidence, count] of this.#attemptFailures) {
      lines.push(
        `${PREFIX}_attempt_failures_total{evidence="${evidence}"} ${count}`,
      );
    }
    for (const [name, count] of this.#counters) {
      lines.push(`${PREFIX}_${name}_total ${count}`);
    }
    for (const [series, bytes] of this.#bytes) {
      lines.push(`${PREFIX}_${series} ${bytes}`);
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`${PREFIX}_${name} ${value}`);
    }
    for (const [route, histogram] of this.#latency) {
      lines.push(...latencyLines(route, histogram));
    }
    return lines.join("\n") + "\n";
  }

  #histogramOf(route: string): Histogram {
    const name = this.#latency.has(route) || this.#latency.size < MAXIMUM_ROUTES
      ? route
      : OTHER_ROUTES;
    let histogram = this.#latency.get(name);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: HIGHEST_MILLISECONDS,
        numberOfSignificantValueDigits: 2,
      });
      this.#latency.set(name, histogram);
    }
    return histogram;
  }
}

function latencyLines(route: string, histogram: Histogram): string[] {
  const lines = PERCENTILES.map((percentile) => {
    const labels = `route="${route}",quantile="${percentile / 100}"`;
    const value = histogram.getValueAtPercentile(percentile);
    return `${PREFIX}_request_milliseconds{${labels}} ${value}`;
  });
  lines.push(
    `${PREFIX}_request_milliseconds_count{route="${route}"} ${histogram.totalCount}`,
  );
  return lines;
}
