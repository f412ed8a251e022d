import { z } from 'zod';

/** Settings of a scheduler; times are in milliseconds. */
export const schedulerSettingsSchema = z.strictObject({
  /** Availability zone of this instance. */
  availabilityZone: z.string().min(1),
  /** Cost of an uncached prompt token; 0.1 by default. */
  prefillMillisecondsPerToken: z.number().positive().default(0.1),
  /** Weight of the delay that a prompt causes to each other call at the target; 1 by default. */
  delayToOthersWeight: z.number().min(0).default(1),
  /** Delay that one running call adds to another at the same target; 50 by default. */
  runningCallMilliseconds: z.number().min(0).default(50),
  /** Cost of a target in another availability zone; 5 by default. */
  otherZoneMilliseconds: z.number().min(0).default(5),
  /** Longest wait for a target that caches the call's prefix; 60,000 by default. */
  maximumHoldMilliseconds: z.number().min(0).default(60_000),
  /** Service charged per output token, in prompt tokens; 4 by default. */
  outputTokenWeight: z.number().positive().default(4),
  /** Expected output tokens of a call before any was observed; 256 by default. */
  expectedOutputTokens: z.number().positive().default(256),
  /** Attained service up to which programs share the first level; doubles with each level. */
  levelTokens: z.number().positive().default(4_000),
  /** Waiting time after which a call moves down one level; 10,000 by default. */
  agingMilliseconds: z.number().positive().default(10_000),
  /** Maximum programs whose attained service is tracked; 50,000 by default. */
  maximumRememberedPrograms: z.number().int().positive().default(50_000),
  /** Maximum service by which an organisation is ahead of the others after its queue was empty. */
  maximumLeadTokens: z.number().positive().default(400_000),
  /** Maximum cache hints kept per target; 8,192 by default. */
  maximumCacheHintsPerTarget: z.number().int().positive().default(8_192),
  /** Share of a target's window that may be borrowed if its report shows room; 0.5 by default. */
  borrowedShare: z.number().min(0).max(1).default(0.5),
  /** Age after which a load report no longer permits borrowing; 3,000 by default. */
  reportExpiryMilliseconds: z.number().positive().default(3_000),
  /** Maximum share of a route's targets that may be ejected at once; 0.34 by default. */
  maximumEjectedShare: z.number().min(0).max(1).default(0.34),
  /** Consecutive failures that eject a target; 3 by default. */
  consecutiveFailures: z.number().int().positive().default(3),
  /** Duration of the first ejection; doubles with each consecutive one; 5,000 by default. */
  ejectionMilliseconds: z.number().positive().default(5_000),
  maximumEjectionMilliseconds: z.number().positive().default(60_000),
  /** Time over which a recovered target regains its full window; 10,000 by default. */
  slowStartMilliseconds: z.number().positive().default(10_000),
  /** Interval between probes of a target; 1,000 by default. */
  probeIntervalMilliseconds: z.number().positive().default(1_000),
  /** Retries available to a route before it has earned any budget; 10 by default. */
  retryBurst: z.number().min(0).default(10),
  /** Maximum attempts per call; 4 by default. */
  maximumAttempts: z.number().int().positive().default(4),
  /** Crashes of different targets after which a request is quarantined; 2 by default. */
  quarantineCrashes: z.number().int().positive().default(2),
  /** Duration of a quarantine; 600,000 by default. */
  quarantineMilliseconds: z.number().positive().default(600_000),
});

export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
