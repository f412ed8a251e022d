import type { CallOutcome, Executed } from '@limpetnotch/programs';
import type { Problem } from '../problems/problem';
import { isProblemId } from '../problems/problemId';

/** How a call failed at its owner, before the failure is recorded. */
export interface CallFailure extends Problem {
  /** Tokens that are known to have been spent. */
  readonly spentTokens: number;
}

/** Builds the outcome that records a failure. */
export const failedOutcome = (failure: CallFailure, spendMicros: number): CallOutcome => ({
  kind: 'failed',
  executed: failure.executed,
  problem: failure.problem,
  detail: failure.detail,
  usage:
    failure.executed === 'no'
      ? { tokens: 0, calls: 0, spendMicros: 0 }
      : { tokens: failure.spentTokens, calls: 1, spendMicros },
});

/** Builds the problem of a failure that was recorded. */
export const recordedProblem = (
  outcome: Extract<CallOutcome, { readonly kind: 'failed' }>,
): Problem => ({
  problem: isProblemId(outcome.problem) ? outcome.problem : 'outcome-unknown',
  executed: outcome.executed satisfies Executed,
  detail: outcome.detail,
});
