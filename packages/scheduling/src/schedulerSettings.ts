import { z } from 'zod';

/** Settings of a scheduler; times are in milliseconds. */
export const schedulerSettingsSchema = z.strictObject({
  /** Zone of this instance. */
  availabilityZone: z.string().min(1),
  /** Cost of one prompt token that is not cached; 0.1 by default. */
  prefillMillisecondsPerToken: z.number().positive().default(0.1),
  /** Weight of the delay that a prompt causes to each other call at the target; 1 by default. */
  delayToOthersWeight: z.number().min(0).default(1),
  /** Delay that one running call adds to another at the same target; 50 by default. */
  runningCallMilliseconds: z.number().min(0).default(50),
  /** Cost of a target in another zone; 5 by default. */
  otherZoneMilliseconds: z.number().min(0).default(5),
  /** Longest time that a call waits for the target that caches its prefix; 60,000 by default. */
  maximumHoldMilliseconds: z.number().min(0).default(60_000),
  /** Service of one output token, in prompt tokens; 4 by default. */
  outputTokenWeight: z.number().positive().default(4),
  /** Output tokens expected of a call before any was seen; 256 by default. */
  expectedOutputTokens: z.number().positive().default(256),
  /** Service up to which programs share the first level; each next level doubles it. */
  levelTokens: z.number().positive().default(4_000),
  /** Waiting time after which a call counts one level lower; 10,000 by default. */
  agingMilliseconds: z.number().positive().default(10_000),
  /** Programs whose attained service is remembered; 50,000 by default. */
  maximumRememberedPrograms: z.number().int().positive().default(50_000),
  /** Service by which an organisation can be ahead of the others when it comes back. */
  maximumLeadTokens: z.number().positive().default(400_000),
  /** Blocks believed to be cached that are remembered for each target; 8,192 by default. */
  maximumCacheHintsPerTarget: z.number().int().positive().default(8_192),
  /** Part of a target's window that may be borrowed while its report shows room; 0.5 by default. */
  borrowedShare: z.number().min(0).max(1).default(0.5),
  /** Age after which a load report is no ground for borrowing; 3,000 by default. */
  reportExpiryMilliseconds: z.number().positive().default(3_000),
  /** Largest share of a route's targets that is ejected at once; 0.34 by default. */
  maximumEjectedShare: z.number().min(0).max(1).default(0.34),
  /** Failures in a row that eject a target; 3 by default. */
  consecutiveFailures: z.number().int().positive().default(3),
  /** First time of an ejection; doubles with each one in a row; 5,000 by default. */
  ejectionMilliseconds: z.number().positive().default(5_000),
  maximumEjectionMilliseconds: z.number().positive().default(60_000),
  /** Time over which a target that came back gets its whole window; 10,000 by default. */
  slowStartMilliseconds: z.number().positive().default(10_000),
  /** Time between two probes of a target; 1,000 by default. */
  probeIntervalMilliseconds: z.number().positive().default(1_000),
  /** Retries that a route can make before any budget was earned; 10 by default. */
  retryBurst: z.number().min(0).default(10),
  /** Attempts of one call at the most; 4 by default. */
  maximumAttempts: z.number().int().positive().default(4),
  /** Crashes of different targets after which a request is quarantined; 2 by default. */
  quarantineCrashes: z.number().int().positive().default(2),
  /** Time for which a request stays quarantined; 600,000 by default. */
  quarantineMilliseconds: z.number().positive().default(600_000),
});

export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
