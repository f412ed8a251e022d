import type { CallUnderWay } from './ledgerSnapshot';
import type { ProgramIdentifier, ProgramRecord } from './programRecord';

/**
 * Returns the outcome of a call that was lost with its owner: it may have run, and may have spent
 * all that it had reserved.
 */
export const closeAttempt = (
  program: ProgramIdentifier,
  attempt: CallUnderWay,
  nowMilliseconds: number,
): ProgramRecord => ({
  kind: 'call-finished',
  program,
  callId: attempt.callId,
  outcome: {
    kind: 'failed',
    executed: 'unknown',
    problem: 'outcome-unknown',
    detail: 'the owner of the program was lost while the call ran',
    usage: attempt.reservation,
  },
  finishedAtMilliseconds: nowMilliseconds,
});
