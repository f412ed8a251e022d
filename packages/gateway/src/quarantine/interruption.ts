import type { AttemptOutcome } from '../calls/attemptOutcome';

/** How an attempt was interrupted whose target may have crashed. */
export type Interruption = 'break' | 'silence';

/** Returns how an attempt was interrupted; undefined if its outcome does not suggest a crash. */
export const classifyInterruption = (outcome: AttemptOutcome): Interruption | undefined => {
  switch (outcome.kind) {
    case 'broken':
      return 'break';
    case 'stalled':
      return 'silence';
    case 'timed-out':
      return outcome.wasSent ? 'silence' : undefined;
    case 'caller-gone':
    case 'declined':
    case 'delivered':
    case 'excessive':
    case 'no-path':
    case 'not-sent':
    case 'not-retained':
    case 'shutting-down':
    case 'unproven-refusal':
      return undefined;
  }
};
