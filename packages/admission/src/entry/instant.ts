/**
 * A time on two clocks: one that never steps, and that of the day, which goes on while the machine
 * is suspended. A life is over once it is over on either.
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

/** Returns the instant some milliseconds later. */
export const after = (instant: Instant, milliseconds: number): Instant => ({
  monotonicMilliseconds: instant.monotonicMilliseconds + milliseconds,
  dayMilliseconds: instant.dayMilliseconds + milliseconds,
});

/** Whether an instant has come by at least one of the clocks. */
export const isPast = (instant: Instant): boolean =>
  performance.now() >= instant.monotonicMilliseconds || Date.now() >= instant.dayMilliseconds;
