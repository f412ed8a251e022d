import { z } from 'zod';

/** Settings of an engine stand-in; all can be changed while it runs. */
export const engineSettingsSchema = z.strictObject({
  /** Loaded models. */
  models: z.array(z.string().min(1)),
  /** Seed of the answers' text; equal on all engines that may resume each other's streams. */
  seed: z.number().int(),
  /** Decode rate of a stream that runs alone, in tokens per second. */
  tokensPerSecond: z.number().positive(),
  /** Fraction by which each further stream in the batch slows down every stream. */
  slowdownPerStream: z.number().min(0),
  /** Maximum number of streams that run at the same time. */
  maximumBatch: z.number().int().positive(),
  /** Maximum number of queued requests; further ones get a 429 response. */
  maximumQueued: z.number().int().min(0),
  /** Prefill rate of all streams together, in prompt tokens per second. */
  prefillTokensPerSecond: z.number().positive(),
  /** Capacity of the prefix cache, in tokens. */
  cacheTokens: z.number().int().min(0),
  /** Age of load reports, in milliseconds. */
  loadLagMilliseconds: z.number().min(0),
  /** Delay until a cache event is published, in milliseconds. */
  cacheEventDelayMilliseconds: z.number().min(0),
  /** Fraction of cache events that are lost. */
  cacheEventLossRatio: z.number().min(0).max(1),
  /** Whether orders with a stale fencing number are refused (`obeyed`) or applied (`ignored`). */
  fencing: z.enum(['obeyed', 'ignored']),
  /**
   * Orders with which a fencing number is compared: all of the engine, or those on the same
   * subject.
   */
  fencingScope: z.enum(['engine', 'subject']),
  /** Which interrupted streams can be resumed: any, only those that ran on this engine, or none. */
  resume: z.enum(['any', 'own', 'none']),
  /**
   * Effect of a crash: kills the process, or refuses connections for a while and clears all memory.
   */
  crash: z.enum(['exit', 'restart']),
  /** Time from a crash until connections are accepted again, in milliseconds. */
  restartMilliseconds: z.number().min(0),
  /** Duration of loading a model, in milliseconds. */
  modelLoadMilliseconds: z.number().min(0),
  /** Texts that requests must not contain; requests that do are counted as sightings. */
  markers: z.array(z.string().min(1)),
  /** Whether chat requests and health checks get a 503 response. */
  unavailable: z.boolean(),
  /** Whether generation is paused while connections stay open. */
  hung: z.boolean(),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** Settings of a new engine; omitted ones have their default. */
export const engineOptionsSchema = engineSettingsSchema.partial();

export type EngineOptions = z.infer<typeof engineOptionsSchema>;

/** A change of settings, with one-time actions. */
export const engineSettingsChangeSchema = engineOptionsSchema.extend({
  silenceConnections: z.boolean().optional(),
  breakConnections: z.boolean().optional(),
  crashNow: z.boolean().optional(),
});

export type EngineSettingsChange = z.infer<typeof engineSettingsChangeSchema>;

export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  models: ['small'],
  seed: 1,
  tokensPerSecond: 100,
  slowdownPerStream: 0.05,
  maximumBatch: 8,
  maximumQueued: 1_000,
  prefillTokensPerSecond: 20_000,
  cacheTokens: 200_000,
  loadLagMilliseconds: 500,
  cacheEventDelayMilliseconds: 500,
  cacheEventLossRatio: 0,
  fencing: 'obeyed',
  fencingScope: 'engine',
  resume: 'any',
  crash: 'restart',
  restartMilliseconds: 1_000,
  modelLoadMilliseconds: 200,
  markers: [],
  unavailable: false,
  hung: false,
};
