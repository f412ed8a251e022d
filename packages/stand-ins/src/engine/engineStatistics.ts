/** What an engine stand-in counted since its start, and what it holds now. */
export interface EngineStatistics {
  readonly finished: number;
  readonly cancelled: number;
  readonly crashes: number;
  readonly running: number;
  readonly queued: number;
  /** Tokens of prompts that were computed. */
  readonly prefilledTokens: number;
  /** Tokens of prompts that were found in the cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Tokens that the cache holds now. */
  readonly cacheTokens: number;
  /** Sessions that hold memory now. */
  readonly sessions: readonly string[];
}
