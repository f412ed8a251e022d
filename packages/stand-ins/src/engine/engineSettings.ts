import { z } from 'zod';

/** Settings of an engine stand-in; each can be changed while it runs. */
export const engineSettingsSchema = z.strictObject({
  /** Models that are loaded. */
  models: z.array(z.string().min(1)),
  /** Part of what decides the answers' text; equal on all engines that may resume each other. */
  seed: z.number().int(),
  /** Tokens a second of one stream that runs alone. */
  tokensPerSecond: z.number().positive(),
  /** Share by which each further stream of the batch slows all of them. */
  slowdownPerStream: z.number().min(0),
  /** Streams that run at once. */
  maximumBatch: z.number().int().positive(),
  /** Requests that wait; more are refused with 429. */
  maximumQueued: z.number().int().min(0),
  /** Tokens of prompts a second that are computed, over all streams together. */
  prefillTokensPerSecond: z.number().positive(),
  /** Memory of the prefix cache, in tokens. */
  cacheTokens: z.number().int().min(0),
  /** Age of load reports, in milliseconds. */
  loadLagMilliseconds: z.number().min(0),
  /** Time until a cache event can be read, in milliseconds. */
  cacheEventDelayMilliseconds: z.number().min(0),
  /** Share of cache events that are lost. */
  cacheEventLossRatio: z.number().min(0).max(1),
  /** Whether an order with an old fencing number is refused. */
  fencing: z.enum(['obeyed', 'ignored']),
  /** With which orders a fencing number is compared: all of the engine, or those on one subject. */
  fencingScope: z.enum(['engine', 'subject']),
  /** Which cut streams can be resumed: any, only those that ran here, or none. */
  resume: z.enum(['any', 'own', 'none']),
  /** What a crash does: kill the process, or refuse connections for a while and lose all memory. */
  crash: z.enum(['exit', 'restart']),
  /** Time from a crash until connections are accepted again, in milliseconds. */
  restartMilliseconds: z.number().min(0),
  /** Time that loading a model takes, in milliseconds. */
  modelLoadMilliseconds: z.number().min(0),
  /** Texts that must not arrive; those that do are counted as sightings. */
  markers: z.array(z.string().min(1)),
  /** Answers every call with 503. */
  unavailable: z.boolean(),
  /** Stops generating, while connections stay open. */
  hung: z.boolean(),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** Settings of a new engine; what is left out keeps its default. */
export const engineOptionsSchema = engineSettingsSchema.partial();

export type EngineOptions = z.infer<typeof engineOptionsSchema>;

/** A change of settings, with the actions that are done once. */
export const engineSettingsChangeSchema = engineOptionsSchema.extend({
  silenceConnections: z.boolean().optional(),
  breakConnections: z.boolean().optional(),
  crashNow: z.boolean().optional(),
});

export type EngineSettingsChange = z.infer<typeof engineSettingsChangeSchema>;

/** Settings of an engine that nothing was said about. */
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
