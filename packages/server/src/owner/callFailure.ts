import type { CallOutcome, Executed } from '@limpetnotch/programs';
import type { Problem } from '../problems/problem';
import { isProblemId } from '../problems/problemId';

/** Failure of a call at its owner, before it is recorded. */
export interface CallFailure extends Problem {
  /** Tokens to be charged for the call. */
  readonly spentTokens: number;
}

/** Converts a failure to the outcome that records it. */
export const toFailedOutcome = (failure: CallFailure, spendMicros: number): CallOutcome => ({
  kind: 'failed',
  executed: failure.executed,
  problem: failure.problem,
  detail: failure.detail,
  usage:
    failure.executed === 'no'
      ? { tokens: 0, calls: 0, spendMicros: 0 }
      : { tokens: failure.spentTokens, calls: 1, spendMicros },
});

/** Converts a recorded failure to a problem. */
export const toRecordedProblem = (
  outcome: Extract<CallOutcome, { readonly kind: 'failed' }>,
): Problem => ({
  problem: isProblemId(outcome.problem) ? outcome.problem : 'outcome-unknown',
  executed: outcome.executed satisfies Executed,
  detail: outcome.detail,
});
