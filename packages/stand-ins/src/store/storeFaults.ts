import { z } from 'zod';

/** Faults of the store stand-in. */
export const storeFaultsSchema = z.strictObject({
  /** `refused`: no connection is accepted; `unavailable`: every call is answered with 503. */
  outage: z.enum(['none', 'refused', 'unavailable']),
  /** Time added before each call is carried out, in milliseconds. */
  latencyMilliseconds: z.number().min(0),
  /** Time added after a call was carried out and before it is answered, in milliseconds. */
  answerLatencyMilliseconds: z.number().min(0),
  /** Writes a second that are let through; more get 429. */
  writesPerSecond: z.number().positive().nullable(),
  /** Reads a second that are let through; more get 429. */
  readsPerSecond: z.number().positive().nullable(),
  /** Next writes whose connection breaks after they took effect. */
  loseAnswers: z.number().int().min(0),
  /** Next writes whose connection breaks before they take effect. */
  loseRequests: z.number().int().min(0),
});

export type StoreFaults = z.infer<typeof storeFaultsSchema>;

/** A change of faults, with the actions that are done once; what is left out stays as it is. */
export const storeFaultsChangeSchema = storeFaultsSchema.partial().extend({
  /** Makes all open connections silent for good; new ones work. */
  silenceConnections: z.boolean().optional(),
  /** Breaks all open connections. */
  breakConnections: z.boolean().optional(),
  /** Makes the open watches pass nothing, without closing them; new ones work. */
  silenceWatches: z.boolean().optional(),
  /** Forgets the history before the current revision, so that older watches fail. */
  compact: z.boolean().optional(),
});

export type StoreFaultsChange = z.infer<typeof storeFaultsChangeSchema>;

/** A store without faults. */
export const NO_STORE_FAULTS: StoreFaults = {
  outage: 'none',
  latencyMilliseconds: 0,
  answerLatencyMilliseconds: 0,
  writesPerSecond: null,
  readsPerSecond: null,
  loseAnswers: 0,
  loseRequests: 0,
};
