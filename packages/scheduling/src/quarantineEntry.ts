import { z } from 'zod';

/** Points of a crash that nothing but the request explains. */
export const CRASH_POINTS = 5;

/** Points of a crash that something else may explain: five such count as three others. */
const INCIDENTAL_CRASH_POINTS = 3;

/** One crash of a target with the request under way. */
export const targetCrashSchema = z.object({
  target: z.string(),
  atMilliseconds: z.number(),
  /** Whether something else than the request may explain it; missing where nothing does. */
  isIncidental: z.boolean().optional(),
});

export type TargetCrash = z.infer<typeof targetCrashSchema>;

/** A request that was under way when targets crashed, as instances tell it to each other. */
export const quarantineEntrySchema = z.object({
  requestDigest: z.string().min(1),
  organisation: z.string(),
  route: z.string(),
  /** Targets that crashed with the request under way, each with its latest crash. */
  crashes: z.array(targetCrashSchema),
  /**
   * When it was lifted, by an operator or since a target served the request, in milliseconds since
   * the epoch; 0 for never.
   */
  liftedAtMilliseconds: z.number(),
  /** When the entry is forgotten, in milliseconds since the epoch. */
  expiresAtMilliseconds: z.number(),
});

export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;

/** Returns the crashes that still count: those after the last lift. */
export const countedCrashes = ({
  crashes,
  liftedAtMilliseconds,
}: QuarantineEntry): readonly TargetCrash[] =>
  crashes.filter(({ atMilliseconds }) => atMilliseconds > liftedAtMilliseconds);

/** Returns what the crashes that still count say against a request, in points. */
export const crashPoints = (entry: QuarantineEntry): number =>
  countedCrashes(entry)
    .map(({ isIncidental }) => (isIncidental ? INCIDENTAL_CRASH_POINTS : CRASH_POINTS))
    .reduce((sum, points) => sum + points, 0);

/** Returns the later of two records of a target's crash. */
const laterCrash = (one: TargetCrash, other: TargetCrash | undefined): TargetCrash => {
  if (!other || one.atMilliseconds > other.atMilliseconds) return one;
  if (one.atMilliseconds < other.atMilliseconds) return other;
  return one.isIncidental ? other : one;
};

/**
 * Joins two entries of one request; the order and the number of joins do not matter. Crashes before
 * the last lift are dropped.
 */
export const mergeQuarantineEntries = (
  left: QuarantineEntry,
  right: QuarantineEntry,
): QuarantineEntry => {
  const latest = new Map<string, TargetCrash>();
  [...left.crashes, ...right.crashes].forEach((crash) =>
    latest.set(crash.target, laterCrash(crash, latest.get(crash.target))),
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
