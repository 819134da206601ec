/**
 * Tells stragglers from backend servers that are merely busy.
 *
 * Latency alone is a poor weight when load shifts within milliseconds, so it
 * counts only beyond a factor that ordinary noise does not reach.
 */
import type { BackendServerState } from "./backend_server_state.ts";

const STRAGGLER_FACTOR = 3;

/** Median over the smoothed latencies of the candidates. */
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
 * How many times slower than its service a backend server is: 1 unless its
 * latency, or the age of its oldest call, exceeds the straggler factor.
 */
export function slowdownOf(
  server: BackendServerState,
  view: {
    readonly now: number;
    readonly medianLatencyMilliseconds: number | undefined;
  },
): number {
  const usual = view.medianLatencyMilliseconds;
  if (usual === undefined || usual <= 0) return 1;
  const seen = Math.max(
    server.latencyMilliseconds ?? 0,
    server.oldestInFlightAgeMilliseconds(view.now),
  );
  const factor = seen / usual;
  return factor > STRAGGLER_FACTOR ? factor : 1;
}
