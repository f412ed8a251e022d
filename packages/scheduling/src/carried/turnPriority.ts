/** Priority of a turn without an objective; 0 is first, 9 is last. */
const USUAL_PRIORITY = 5;

/** Priority of a turn whose program can't end on time any more. */
const LATE_PRIORITY = 8;

/** Times to the objective, in milliseconds, up to which a turn goes ahead of the others. */
const URGENT_MILLISECONDS = [500, 1_000, 2_000, 4_000];

/**
 * Rank of a turn at its target, from 0 to 9. Answers a burst that fills the engines: served in order
 * of arrival, all programs end a little late. Those with the least time to their objective go
 * first, and those that are late anyway let the others pass.
 */
export const turnPriority = (remainingMilliseconds: number | undefined): number => {
  if (remainingMilliseconds === undefined) return USUAL_PRIORITY;
  if (remainingMilliseconds <= 0) return LATE_PRIORITY;
  const step = URGENT_MILLISECONDS.findIndex((limit) => remainingMilliseconds <= limit);
  return step === -1 ? USUAL_PRIORITY : step + 1;
};
