import type { AttemptOutcome } from './attemptOutcome';

/** Thrown within an attempt to end it with an outcome. */
export class AttemptEndedError extends Error {
  readonly outcome: AttemptOutcome;

  constructor(outcome: AttemptOutcome) {
    super(outcome.kind);
    this.outcome = outcome;
  }
}

/** Returns the error for a response that is lost or does not belong to the request. */
export const toBrokenError = (detail: string): AttemptEndedError =>
  new AttemptEndedError({ kind: 'broken', detail });

/** Returns the error for a response that costs more than one may. */
export const toExcessiveError = (detail: string): AttemptEndedError =>
  new AttemptEndedError({ kind: 'excessive', detail });
