/** Returns what a thrown value says, for a log line. */
export const detailOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
