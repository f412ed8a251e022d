import type { BudgetLimits, ProgramIdentifier, Usage } from './programRecord';

/** A call as the owner receives it. */
export interface CallRequest {
  readonly program: ProgramIdentifier;
  /** Ends the program with this call: a call without a program header. */
  readonly singleCall: boolean;
  /** Sequence that the caller expects the call to get, if it says so. */
  readonly expectedSequence?: number | undefined;
  /** The caller's key, or one that the entry made up. */
  readonly idempotencyKey: string;
  readonly requestDigest: string;
  readonly route: string;
  readonly idempotent: boolean;
  /** Worst case of the call; answers are capped to what is granted. */
  readonly worstCase: Usage;
  /** Tokens below which the call is of no use, such as the prompt's and one more; 1 by default. */
  readonly minimumTokens?: number | undefined;
  /** Limits for a program that starts with this call. */
  readonly limits: BudgetLimits;
  readonly requestBodyBase64: string;
}
