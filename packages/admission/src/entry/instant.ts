/**
 * A point in time on two clocks: the monotonic clock, which never steps, and the wall clock, which
 * keeps running while the machine is suspended. A lifetime has expired once either clock has passed
 * its end.
 */
export interface Instant {
  readonly monotonicMilliseconds: number;
  readonly dayMilliseconds: number;
}

/** Reads both clocks. */
export const readInstant = (): Instant => ({
  monotonicMilliseconds: performance.now(),
  dayMilliseconds: Date.now(),
});

/** Returns the instant that is later by the given time. */
export const addMilliseconds = (instant: Instant, milliseconds: number): Instant => ({
  monotonicMilliseconds: instant.monotonicMilliseconds + milliseconds,
  dayMilliseconds: instant.dayMilliseconds + milliseconds,
});

/** Whether at least one of the clocks has reached an instant. */
export const isPast = (instant: Instant): boolean =>
  performance.now() >= instant.monotonicMilliseconds || Date.now() >= instant.dayMilliseconds;
