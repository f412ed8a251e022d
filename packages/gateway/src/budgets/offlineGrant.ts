/**
 * Share of a budget that may be granted while the store is unreachable. Programs usually spend a
 * quarter of their budgets; the other half covers an offline grant of which no record survives.
 */
const OFFLINE_GRANT_SHARE = 0.5;

/**
 * Returns the tokens to count as granted for a program that may have received an offline grant from
 * an instance that has lost its record of it.
 */
export const computePresumedTokens = (limitTokens: number, turnTokens: number): number => {
  const tokens = Math.floor(limitTokens * OFFLINE_GRANT_SHARE);
  return tokens < turnTokens ? 0 : tokens;
};

/**
 * Returns the tokens that may be granted while the store is unreachable. A budget of less than two
 * turns is granted one turn, which is not presumed later: a budget may be exceeded by at most one
 * turn.
 */
export const computeOfflineGrantTokens = (limitTokens: number, turnTokens: number): number =>
  computePresumedTokens(limitTokens, turnTokens) || Math.min(limitTokens, turnTokens);
