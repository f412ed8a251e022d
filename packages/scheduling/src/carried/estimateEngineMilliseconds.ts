/** Prefill time per prompt token: 77 tokens per millisecond on the engines served so far. */
export const PREFILL_MILLISECONDS_PER_TOKEN = 0.013;

/** Time of one decoding step, in which each running request gets a token. */
const STEP_MILLISECONDS = 3;

/** Work of a request at a model engine. */
export interface EngineWork {
  /** Prompt tokens that the engine does not cache. */
  readonly uncachedTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
  /** Requests that the engine decodes together. */
  readonly slots: number;
}

/** Estimates a request's share of an engine's time, in milliseconds. */
export const estimateEngineMilliseconds = (work: EngineWork): number =>
  work.uncachedTokens * PREFILL_MILLISECONDS_PER_TOKEN +
  (work.outputTokens * STEP_MILLISECONDS) / work.slots;
