/**
 * Counters and latency histograms of one entry, in the text format that
 * Prometheus scrapes.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { ServiceName } from "@marigoldford/kernel/types";
import type { RefusalReason } from "@marigoldford/kernel/refusal";

const MAXIMUM_TRACKED_MICROSECONDS = 120_000_000;
const PERCENTILES: readonly number[] = [50, 90, 99, 99.9];
const MICROSECONDS_PER_SECOND = 1_000_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

function makeHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_TRACKED_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });
}

function toMicroseconds(milliseconds: number): number {
  const value = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
  return Math.min(MAXIMUM_TRACKED_MICROSECONDS, Math.max(1, value));
}

export class EntryMetrics {
  calls = 0;
  attempts = 0;
  retries = 0;
  hedges = 0;
  waits = 0;
  answers = 0;
  healthPolls = 0;
  forwardedCalls = 0;
  pauses = 0;
  readonly #refusals = new Map<RefusalReason, number>();
  readonly #durations = new Map<ServiceName, Histogram>();

  recordRefusal(reason: RefusalReason): void {
    this.#refusals.set(reason, (this.#refusals.get(reason) ?? 0) + 1);
  }

  recordDuration(service: ServiceName, milliseconds: number): void {
    let histogram = this.#durations.get(service);
    if (histogram === undefined) {
      histogram = makeHistogram();
      this.#durations.set(service, histogram);
    }
    histogram.recordValue(toMicroseconds(milliseconds));
  }

  refusals(): ReadonlyMap<RefusalReason, number> {
    return this.#refusals;
  }

  /** Prometheus text exposition format, version 0.0.4. */
  text(gauges: ReadonlyMap<string, number>): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters()) {
      lines.push(`# TYPE marigoldford_${name}_total counter`);
      lines.push(`marigoldford_${name}_total ${value}`);
    }
    for (const [name, value] of gauges) {
      lines.push(`# TYPE marigoldford_${name} gauge`);
      lines.push(`marigoldford_${name} ${value}`);
    }
    lines.push(...this.#refusalLines(), ...this.#durationLines());
    return lines.join("\n") + "\n";
  }

  #counters(): [string, number][] {
    return [
      ["calls", this.calls],
      ["answers", this.answers],
      ["attempts", this.attempts],
      ["retries", this.retries],
      ["hedges", this.hedges],
      ["waits", this.waits],
      ["health_polls", this.healthPolls],
      ["forwarded_calls", this.forwardedCalls],
      ["pauses", this.pauses],
    ];
  }

  #refusalLines(): string[] {
    const name = "marigoldford_refusals_total";
    const lines = [`# TYPE ${name} counter`];
    for (const [reason, count] of this.#refusals) {
      lines.push(`${name}{reason="${reason}"} ${count}`);
    }
    return lines;
  }

  #durationLines(): string[] {
    const name = "marigoldford_call_duration_seconds";
    const lines = [`# TYPE ${name} summary`];
    for (const [service, histogram] of this.#durations) {
      const label = `service="${service}"`;
      for (const percentile of PERCENTILES) {
        const value = histogram.getValueAtPercentile(percentile) /
          MICROSECONDS_PER_SECOND;
        lines.push(`${name}{${label},quantile="${percentile / 100}"} ${value}`);
      }
      lines.push(`${name}_count{${label}} ${histogram.totalCount}`);
    }
    return lines;
  }
}
