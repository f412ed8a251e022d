import type { LimitHistory } from '@limpetnotch/stand-ins';
import { findLimitExcess } from '../capped-target/findLimitExcess';
import type { Lifetime } from './lifetime';
import type { Violation } from './violation';
import { wasDisturbed } from './wasDisturbed';

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
