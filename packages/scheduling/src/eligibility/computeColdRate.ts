/** How far the platform lets the rate of a cold target be exceeded in a second. */
export interface ColdBounds {
  readonly coldOverage: number;
  /** Requests beyond that. */
  readonly coldSlack: number;
}

/** A holder may hand out one token at once; two may do so while instances disagree on the holder. */
const BURST_TOKENS = 2;

/**
 * A token is spent up to 0.25 s after it was handed out, so that a second holds the requests of up to
 * 1.25 seconds of tokens.
 */
const TRANSFER_EXCESS = 1.25;

/** Holders together hand out up to this much of a rate while instances don't reach each other. */
const HOLDER_EXCESS = 1.5;

/** One request in each window over which tokens are counted. */
const LEAST_REQUESTS_PER_SECOND = 0.25;

/**
 * Returns the rate at which tokens for a cold target are handed out, such that no second holds more
 * requests than the platform tolerates. The target crashes well above its rate, so the tolerance
 * covers delays and disagreement, and is not used up on purpose.
 */
export const computeColdRate = (
  requestsPerSecond: number,
  { coldOverage, coldSlack }: ColdBounds,
): number => {
  const tolerated = requestsPerSecond * coldOverage + coldSlack;
  const safe = (tolerated - BURST_TOKENS) / (TRANSFER_EXCESS * HOLDER_EXCESS);
  return Math.max(LEAST_REQUESTS_PER_SECOND, Math.min(requestsPerSecond, safe));
};
