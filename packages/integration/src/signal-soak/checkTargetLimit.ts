import type { LimitHistory } from '@limpetnotch/stand-ins';
import { findLimitExcess } from '../capped-target/findLimitExcess';
import type { Lifetime } from './lifetime';
import type { Violation } from './violation';

/** The platform's stable window. */
const STABLE_WINDOW_MILLISECONDS = 3_000;

/** Whether a process was started or signalled shortly before a moment, or was ever paused. */
const wasDisturbed = ({ spawnedAt, signals, wasPaused }: Lifetime, moment: number): boolean => {
  const isRecent = (at: number): boolean =>
    at <= moment && at > moment - STABLE_WINDOW_MILLISECONDS;
  return wasPaused || isRecent(spawnedAt) || signals.some(({ at }) => isRecent(at));
};

/** Checks that undisturbed instances kept the limits that an incarnation of a target named. */
export const checkTargetLimit = (
  targetId: string,
  history: LimitHistory,
  findLifetime: (requestId: string) => Lifetime | undefined,
): readonly Violation[] => {
  const excess = findLimitExcess(history, ({ at, requestId }) => {
    const lifetime = findLifetime(requestId);
    return lifetime !== undefined && !wasDisturbed(lifetime, at);
  });
  if (!excess) return [];
  const text = `${targetId} got ${excess.requests} requests in 4 s, ${excess.allowed} allowed`;
  return [{ check: 'limit', lifetime: '', text }];
};
