/** Exit codes of the command line. */
export const EXIT_CODE = {
  done: 0,
  /** Faults in declarations, a conflict, or a rejected request. */
  refused: 1,
  wrongUsage: 2,
  /** The store or the entry did not respond. */
  unreachable: 3,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
