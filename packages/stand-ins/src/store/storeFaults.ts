import { z } from 'zod';

/** Faults of the store stand-in. */
export const storeFaultsSchema = z.strictObject({
  /** `refused`: connections are refused; `unavailable`: every call gets a 503 response. */
  outage: z.enum(['none', 'refused', 'unavailable']),
  /** Delay before each call takes effect, in milliseconds. */
  latencyMilliseconds: z.number().min(0),
  /** Delay between the effect of a call and its response, in milliseconds. */
  answerLatencyMilliseconds: z.number().min(0),
  /** Limit of writes per second; further ones get a 429 response. `null` means no limit. */
  writesPerSecond: z.number().positive().nullable(),
  /** Limit of reads per second; further ones get a 429 response. `null` means no limit. */
  readsPerSecond: z.number().positive().nullable(),
  /** Number of next writes whose connection breaks after they take effect. */
  loseAnswers: z.number().int().min(0),
  /** Number of next writes whose connection breaks before they take effect. */
  loseRequests: z.number().int().min(0),
});

export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** A change of faults, with one-time actions; omitted faults keep their value. */
export const storeFaultsChangeSchema = storeFaultsSchema.partial().extend({
  /** Makes all open connections permanently unresponsive; new ones work. */
  silenceConnections: z.boolean().optional(),
  /** Breaks all open connections. */
  breakConnections: z.boolean().optional(),
  /** Stops the open watches from sending events, without closing them; new ones work. */
  silenceWatches: z.boolean().optional(),
  /**
   * Discards the history before the current revision, so that watches from older revisions fail.
   */
  compact: z.boolean().optional(),
});

export type StoreFaultsChange = z.infer<typeof storeFaultsChangeSchema>;

/** Faults of a store that has none. */
export const NO_STORE_FAULTS: StoreFaults = {
  outage: 'none',
  latencyMilliseconds: 0,
  answerLatencyMilliseconds: 0,
  writesPerSecond: null,
  readsPerSecond: null,
  loseAnswers: 0,
  loseRequests: 0,
};
