/**
 * Exit codes of the command line. They are documented for operators, so
 * the numbers do not change.
 */
export const EXIT_CODES = {
  ok: 0,
  /** A check found faults, a call was refused or lost, or no line matched. */
  failure: 1,
  /** The command line is invalid. */
  usage: 2,
  /** A file cannot be read, or an entry cannot be reached or started. */
  unreachable: 3,
  /** The outcome of a protected call is unknown. */
  unknown: 4,
} as const;

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];
