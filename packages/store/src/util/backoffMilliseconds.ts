/** Bounds of an exponential backoff. */
export interface BackoffBounds {
  readonly firstMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/** Returns the time to wait before a retry: between half and all of an exponential bound. */
export const backoffMilliseconds = (
  attempt: number,
  { firstMilliseconds, maximumMilliseconds }: BackoffBounds,
): number => {
  const bound = Math.min(maximumMilliseconds, firstMilliseconds * 2 ** attempt);
  return bound / 2 + (Math.random() * bound) / 2;
};
