/**
 * Types shared by all modules of the kernel.
 *
 * The kernel does no input or output; it receives time and randomness as the
 * functions declared here.
 */

/** `host:port`, with an IP address as host. */
export type Address = string;

/** Name of a service, as written in the sheet. */
export type ServiceName = string;

/** Name of a failure domain, for example `colombo`. */
export type FailureDomain = string;

/** Identity of one run of an entry process: 32 hexadecimal digits. */
export type Incarnation = string;

/** Monotonic time in milliseconds; only differences are meaningful. */
export type Clock = () => number;

/** Returns uniformly distributed random numbers in [0, 1). */
export type RandomSource = () => number;

/**
 * Outcome of a call that an answer states to its caller.
 *
 * - `answered`: the complete answer of the backend server follows.
 * - `not-run`: the call provably did not run and will not run later.
 * - `unknown`: neither can be proved.
 */
export type Outcome = "answered" | "not-run" | "unknown";

/** Life cycle of an entry process as its peers and callers see it. */
export type EntryState = "starting" | "serving" | "leaving" | "stopped";
