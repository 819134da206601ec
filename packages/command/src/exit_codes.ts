/**
 * Exit codes of the command line, also listed in docs/command_line.md.
 */
export const EXIT_CODES = {
  ok: 0,
  /** Something was checked and found faulty, or a call was refused. */
  failure: 1,
  /** The command line itself is wrong. */
  usage: 2,
  /** A file or an entry cannot be reached. */
  unreachable: 3,
  /** The outcome of a protected call is unknown. */
  unknown: 4,
} as const;

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];
