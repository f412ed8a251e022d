import type { CallUnderWay } from './ledgerSnapshot';
import type { ProgramIdentifier, ProgramRecord } from './programRecord';

/**
 * Creates the outcome record of an attempt that was lost with its owner. The attempt may have run,
 * so its complete reservation counts as spent.
 */
export const createLostOutcome = (
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
