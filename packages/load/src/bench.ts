/**
 * The benchmark's command: see docs/measurements/.
 */
export const BENCH_VERSION = 1;
