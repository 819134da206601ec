/**
 * Detects stragglers: backend servers that are several times slower than the
 * others of their service.
 *
 * Latency is a poor weight where load shifts within milliseconds, so it counts
 * only beyond a factor that ordinary variation does not reach.
 */
import type { BackendServerState } from "./backend_server_state.ts";

const STRAGGLER_FACTOR = 3;

/** Median of the candidates' smoothed latencies. */
export function medianLatencyMilliseconds(
  candidates: readonly BackendServerState[],
): number | undefined {
  const latencies: number[] = [];
  for (const server of candidates) {
    if (server.latencyMilliseconds !== undefined) {
      latencies.push(server.latencyMilliseconds);
    }
  }
  if (latencies.length === 0) return undefined;
  latencies.sort((left, right) => left - right);
  return latencies[Math.floor(latencies.length / 2)];
}

/**
 * Ratio of a backend server's latency, or of the age of its oldest call in
 * flight if that is longer, to the median of its service. 1 for ratios up to
 * the straggler factor.
 */
export function slowdownOf(
  server: BackendServerState,
  inputs: {
    readonly now: number;
    readonly medianLatencyMilliseconds: number | undefined;
  },
): number {
  const median = inputs.medianLatencyMilliseconds;
  if (median === undefined || median <= 0) return 1;
  const observed = Math.max(
    server.latencyMilliseconds ?? 0,
    server.oldestInFlightAgeMilliseconds(inputs.now),
  );
  const factor = observed / median;
  return factor > STRAGGLER_FACTOR ? factor : 1;
}
