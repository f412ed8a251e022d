/** Bounds of an exponential backoff. */
export interface BackoffBounds {
  readonly firstMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/** Returns the delay before a retry: a random time between half of an exponential bound and the bound. */
export const computeBackoffMilliseconds = (
  attempt: number,
  { firstMilliseconds, maximumMilliseconds }: BackoffBounds,
): number => {
  const bound = Math.min(maximumMilliseconds, firstMilliseconds * 2 ** attempt);
  return bound / 2 + (Math.random() * bound) / 2;
};
