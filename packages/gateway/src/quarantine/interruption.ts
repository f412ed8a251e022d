import type { AttemptOutcome } from '../calls/attemptOutcome';

/** How an attempt ended that its target may have crashed under. */
export type Interruption = 'break' | 'silence';

/** Returns how an attempt was interrupted; undefined where its end says nothing of its target. */
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
    case 'not-sent':
    case 'shutting-down':
      return undefined;
  }
};
