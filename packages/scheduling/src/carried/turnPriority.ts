/** Priority of a turn without an objective; 0 is highest, 9 is lowest. */
const DEFAULT_PRIORITY = 5;

/** Priority of a turn whose program can no longer meet its objective. */
const LATE_PRIORITY = 8;

/** Remaining times to the objective up to which a turn takes precedence, most urgent first. */
const URGENCY_LIMITS_MILLISECONDS = [500, 1_000, 2_000, 4_000];

/**
 * Returns the priority of a turn at its target, from 0 to 9. In a burst that fills the engines,
 * serving in arrival order would make all programs slightly late. Turns with the least remaining
 * time go first, and turns whose objective has passed yield to the others.
 */
export const turnPriority = (remainingMilliseconds: number | undefined): number => {
  if (remainingMilliseconds === undefined) return DEFAULT_PRIORITY;
  if (remainingMilliseconds <= 0) return LATE_PRIORITY;
  const step = URGENCY_LIMITS_MILLISECONDS.findIndex((limit) => remainingMilliseconds <= limit);
  return step === -1 ? DEFAULT_PRIORITY : step + 1;
};
