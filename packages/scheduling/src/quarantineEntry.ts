import { z } from 'zod';

/** A request that was under way when targets crashed, as instances tell it to each other. */
export const quarantineEntrySchema = z.object({
  requestDigest: z.string().min(1),
  organisation: z.string(),
  route: z.string(),
  /** Targets that crashed with the request under way, each with its latest crash. */
  crashes: z.array(z.object({ target: z.string(), atMilliseconds: z.number() })),
  /** When an operator lifted it, in milliseconds since the epoch; 0 for never. */
  liftedAtMilliseconds: z.number(),
  /** When the entry is forgotten, in milliseconds since the epoch. */
  expiresAtMilliseconds: z.number(),
});

export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;

/** Returns the targets whose crashes still count: those after the last lift. */
export const countedCrashes = ({
  crashes,
  liftedAtMilliseconds,
}: QuarantineEntry): readonly string[] =>
  crashes
    .filter(({ atMilliseconds }) => atMilliseconds > liftedAtMilliseconds)
    .map(({ target }) => target);

/** Joins two entries of one request; the order and the number of joins do not matter. */
export const mergeQuarantineEntries = (
  left: QuarantineEntry,
  right: QuarantineEntry,
): QuarantineEntry => {
  const latest = new Map<string, number>();
  [...left.crashes, ...right.crashes].forEach(({ target, atMilliseconds }) =>
    latest.set(target, Math.max(atMilliseconds, latest.get(target) ?? 0)),
  );
  return {
    ...left,
    crashes: [...latest]
      .map(([target, atMilliseconds]) => ({ target, atMilliseconds }))
      .sort((one, other) => (one.target < other.target ? -1 : 1)),
    liftedAtMilliseconds: Math.max(left.liftedAtMilliseconds, right.liftedAtMilliseconds),
    expiresAtMilliseconds: Math.max(left.expiresAtMilliseconds, right.expiresAtMilliseconds),
  };
};
