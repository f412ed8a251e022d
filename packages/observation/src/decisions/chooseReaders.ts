import type { ObservingInstance } from './observingInstance';

/** Readers in each availability zone: one may be silent without followers reading the store. */
const READERS_PER_ZONE = 2;

const RANK_KEY = 'observation';

/** Sorts names for a key, equally on all instances. */
export type RankNames = (key: string, names: readonly string[]) => readonly string[];

/** The instances that read the store for all others, by availability zone. */
export type ChosenReaders = ReadonlyMap<string, readonly string[]>;

/**
 * Chooses the instances of each availability zone that read the store. Instances that can't relay
 * are never chosen; those without an availability zone form one.
 */
export const chooseReaders = (
  instances: readonly ObservingInstance[],
  rank: RankNames,
): ChosenReaders => {
  const byZone = new Map<string, string[]>();
  instances.forEach(({ name, availabilityZone = '', canRelay }) => {
    if (!canRelay) return;
    const names = byZone.get(availabilityZone);
    if (names) names.push(name);
    else byZone.set(availabilityZone, [name]);
  });
  return new Map(
    [...byZone].map(([zone, names]) => [zone, rank(RANK_KEY, names).slice(0, READERS_PER_ZONE)]),
  );
};
