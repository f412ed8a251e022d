import { chooseHolders } from './chooseHolders';
import { countCopies } from './countCopies';
import type { ProgramKey } from './programKey';
import type { StorageInstance } from './storageInstance';
import type { ToleratedLosses } from './toleratedLosses';

/** Arguments of {@link isRetired}. */
export interface RetirementEvidence<Key extends ProgramKey> {
  /** Name of the instance that is to be removed. */
  readonly instance: string;
  /** Turns that it holds. */
  readonly held: Iterable<Key>;
  readonly instances: readonly Pick<StorageInstance, 'name' | 'availabilityZone' | 'state'>[];
  readonly toleratedLosses: ToleratedLosses;
  /** Whether the instance has lost turns and not found them again, so that these may lack a copy. */
  readonly hasLost: boolean;
  /** Whether another instance has acknowledged a turn since its current process started. */
  readonly isHeldBy: (instance: string, key: Key) => boolean;
}

/**
 * Returns whether an instance can be removed with its disk: each turn that it holds is on all its
 * holders as computed without it. Too few holders would leave less copies than losses are tolerated.
 */
export const isRetired = <Key extends ProgramKey>({
  instance,
  held,
  instances,
  toleratedLosses,
  hasLost,
  isHeldBy,
}: RetirementEvidence<Key>): boolean => {
  if (hasLost) return false;
  const others = instances.filter(({ name }) => name !== instance);
  const copies = countCopies(toleratedLosses);
  for (const key of held) {
    const holders = chooseHolders(key, others, toleratedLosses);
    if (holders.length < copies || !holders.every(({ name }) => isHeldBy(name, key))) return false;
  }
  return true;
};
