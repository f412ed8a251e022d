import { z } from 'zod';

/** Points for a crash that only the request explains. */
export const CRASH_POINTS = 5;

/** Points for a crash that something else may explain; five such crashes count as three others. */
const INCIDENTAL_CRASH_POINTS = 3;

/** A crash of a target while it ran the request. */
export const targetCrashSchema = z.object({
  target: z.string(),
  atMilliseconds: z.number(),
  /** Whether something other than the request may explain the crash; omitted if nothing does. */
  isIncidental: z.boolean().optional(),
});

export type TargetCrash = z.infer<typeof targetCrashSchema>;

/** A request that was running when targets crashed, in the form that instances exchange. */
export const quarantineEntrySchema = z.object({
  requestDigest: z.string().min(1),
  organisation: z.string(),
  route: z.string(),
  /** Targets that crashed while they ran the request, each with its latest crash. */
  crashes: z.array(targetCrashSchema),
  /**
   * When the quarantine was lifted, by an operator or because a target served the request, in
   * milliseconds since the epoch; 0 if never.
   */
  liftedAtMilliseconds: z.number(),
  /** When the entry expires, in milliseconds since the epoch. */
  expiresAtMilliseconds: z.number(),
});

export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;

/** Returns the crashes that still count: those after the last lift. */
export const countedCrashes = ({
  crashes,
  liftedAtMilliseconds,
}: QuarantineEntry): readonly TargetCrash[] =>
  crashes.filter(({ atMilliseconds }) => atMilliseconds > liftedAtMilliseconds);

/** Returns the sum of points of the crashes that still count against a request. */
export const sumCrashPoints = (entry: QuarantineEntry): number =>
  countedCrashes(entry)
    .map(({ isIncidental }) => (isIncidental ? INCIDENTAL_CRASH_POINTS : CRASH_POINTS))
    .reduce((sum, points) => sum + points, 0);

/** Returns the later of two records of a target's crash. */
const selectLaterCrash = (one: TargetCrash, other: TargetCrash | undefined): TargetCrash => {
  if (!other || one.atMilliseconds > other.atMilliseconds) return one;
  if (one.atMilliseconds < other.atMilliseconds) return other;
  return one.isIncidental ? other : one;
};

/**
 * Merges two entries of one request; the order and number of merges do not matter. Crashes before
 * the last lift are dropped.
 */
export const mergeQuarantineEntries = (
  left: QuarantineEntry,
  right: QuarantineEntry,
): QuarantineEntry => {
  const latest = new Map<string, TargetCrash>();
  [...left.crashes, ...right.crashes].forEach((crash) =>
    latest.set(crash.target, selectLaterCrash(crash, latest.get(crash.target))),
  );
  const liftedAtMilliseconds = Math.max(left.liftedAtMilliseconds, right.liftedAtMilliseconds);
  return {
    ...left,
    crashes: [
      ...countedCrashes({
        ...left,
        crashes: [...latest.values()].sort((one, other) => (one.target < other.target ? -1 : 1)),
        liftedAtMilliseconds,
      }),
    ],
    liftedAtMilliseconds,
    expiresAtMilliseconds: Math.max(left.expiresAtMilliseconds, right.expiresAtMilliseconds),
  };
};
