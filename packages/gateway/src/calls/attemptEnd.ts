import type { AttemptOutcome } from './attemptOutcome';

/** Thrown inside an attempt to end it with an outcome. */
export class AttemptEnd extends Error {
  readonly outcome: AttemptOutcome;

  constructor(outcome: AttemptOutcome) {
    super(outcome.kind);
    this.outcome = outcome;
  }
}

/** Returns the end of an attempt whose answer is lost or none to its request. */
export const broken = (detail: string): AttemptEnd => new AttemptEnd({ kind: 'broken', detail });
