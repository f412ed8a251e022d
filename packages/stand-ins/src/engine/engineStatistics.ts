/** Counts of an engine stand-in since its start, and its current contents. */
export interface EngineStatistics {
  readonly finished: number;
  readonly cancelled: number;
  readonly crashes: number;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens that were prefilled. */
  readonly prefilledTokens: number;
  /** Prompt tokens that were found in the cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Tokens currently in the cache. */
  readonly cacheTokens: number;
  /** Sessions that currently use blocks of the cache. */
  readonly sessions: readonly string[];
}
