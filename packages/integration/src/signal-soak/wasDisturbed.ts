import type { Lifetime } from './lifetime';

/** The platform's stable window. */
const STABLE_WINDOW_MILLISECONDS = 3_000;

/** Whether a process was started or signalled shortly before a moment, or was ever paused. */
export const wasDisturbed = (
  { spawnedAt, signals, wasPaused }: Lifetime,
  moment: number,
): boolean => {
  const isRecent = (at: number): boolean =>
    at <= moment && at > moment - STABLE_WINDOW_MILLISECONDS;
  return wasPaused || isRecent(spawnedAt) || signals.some(({ at }) => isRecent(at));
};
