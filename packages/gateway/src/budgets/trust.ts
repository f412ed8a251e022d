/**
 * Part of a budget that may be granted without the store. Programs spend a quarter of their budgets
 * as a rule; the rest covers a grant that nobody remembers.
 */
const TRUSTED_PART = 0.5;

/** Tokens counted as granted for a program that may have been trusted by someone who forgot it. */
export const presumedTokensOf = (limitTokens: number, turnTokens: number): number => {
  const tokens = Math.floor(limitTokens * TRUSTED_PART);
  return tokens < turnTokens ? 0 : tokens;
};

/**
 * Tokens that may be granted without the store. A budget of less than two turns gets one turn,
 * which is not presumed later: budgets may be exceeded by one turn at most.
 */
export const trustedTokensOf = (limitTokens: number, turnTokens: number): number =>
  presumedTokensOf(limitTokens, turnTokens) || Math.min(limitTokens, turnTokens);
