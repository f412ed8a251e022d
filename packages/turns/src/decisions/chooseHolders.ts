import { countCopies } from './countCopies';
import type { ProgramKey } from './programKey';
import { rankHolders } from './rankHolders';
import type { StorageInstance } from './storageInstance';
import type { ToleratedLosses } from './toleratedLosses';

/**
 * Returns the instances that should hold the turns of a program, over as many availability zones as
 * possible; fewer than the number of copies if there are not enough instances.
 */
export const chooseHolders = <
  Instance extends Pick<StorageInstance, 'name' | 'availabilityZone' | 'state'>,
>(
  key: ProgramKey,
  instances: readonly Instance[],
  toleratedLosses: ToleratedLosses,
): readonly Instance[] => rankHolders(key, instances).slice(0, countCopies(toleratedLosses));
