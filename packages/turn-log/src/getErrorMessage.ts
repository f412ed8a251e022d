/** Returns the message of a thrown value, for a log line. */
export const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
