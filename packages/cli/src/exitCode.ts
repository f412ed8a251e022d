/** Exit codes of the binary. */
export const EXIT_CODE = {
  done: 0,
  /** Faults in declarations, a conflict, or a request that was refused. */
  refused: 1,
  wrongUsage: 2,
  /** The store or the entry gave no answer. */
  unreachable: 3,
} as const;

export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
