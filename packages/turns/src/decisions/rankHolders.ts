import { createHash } from 'node:crypto';
import type { ProgramKey } from './programKey';
import type { StorageInstance } from './storageInstance';

const SCORE_BYTES = 6;

/** What the ranking uses of an instance. */
type RankedInstance = Pick<StorageInstance, 'name' | 'availabilityZone' | 'state'>;

const scoreOf = ({ organisation, program }: ProgramKey, instance: string): number =>
  createHash('sha256')
    .update(JSON.stringify([organisation, program, instance]))
    .digest()
    .readUIntBE(0, SCORE_BYTES);

const compareNames = (first: string, second: string): number => {
  if (first === second) return 0;
  return first < second ? -1 : 1;
};

/**
 * Ranks the instances that may hold the turns of a program by rendezvous hashing: first one of each
 * availability zone, then the others. Instances that are leaving are excluded.
 */
export const rankHolders = <Instance extends RankedInstance>(
  key: ProgramKey,
  instances: readonly Instance[],
): readonly Instance[] => {
  const ranked = instances
    .filter(({ state }) => state === 'serving')
    .map((instance) => ({ instance, score: scoreOf(key, instance.name) }))
    .sort(
      (first, second) =>
        second.score - first.score || compareNames(first.instance.name, second.instance.name),
    )
    .map(({ instance }) => instance);
  const covered = new Set<string>();
  const firstOfZones = ranked.filter(({ availabilityZone }) => {
    const isNew = !covered.has(availabilityZone);
    covered.add(availabilityZone);
    return isNew;
  });
  const chosen = new Set(firstOfZones);
  return [...firstOfZones, ...ranked.filter((instance) => !chosen.has(instance))];
};
