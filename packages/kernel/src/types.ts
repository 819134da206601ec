/**
 * Types shared by all decision code.
 *
 * Decision code does no input or output: time and randomness reach it as the
 * functions declared here.
 */

/** `host:port`, with an IP number as host. */
export type Address = string;

/** Name of a service, as the sheet spells it. */
export type ServiceName = string;

/** Name of a failure domain, for example `colombo`. */
export type FailureDomain = string;

/** Identity of one run of an entry process: 32 hexadecimal digits. */
export type Incarnation = string;

/** Monotonic time in milliseconds; only differences have a meaning. */
export type Clock = () => number;

/** Uniform random numbers in [0, 1). */
export type RandomSource = () => number;

/**
 * What a caller may conclude from an answer.
 *
 * - `answered`: the whole answer of the backend server follows.
 * - `not-run`: proved that the call did not run and will not run later.
 * - `unknown`: neither can be proved.
 */
export type Outcome = "answered" | "not-run" | "unknown";

/** Life cycle of an entry instance as its peers and callers see it. */
export type EntryState = "starting" | "serving" | "leaving" | "stopped";
