import type { ChosenReaders, RankNames } from './chooseReaders';

/** Readers that a follower tries before it starts again with the first one. */
const MAXIMUM_READERS_TRIED = 8;

/**
 * Returns the readers in the order in which an instance tries them: those of its availability zone,
 * then the others, each in an order of its own, so that the followers spread over the readers.
 */
export const orderReaders = (
  readers: ChosenReaders,
  instance: string,
  availabilityZone: string | undefined,
  rank: RankNames,
): readonly string[] => {
  const near = readers.get(availabilityZone ?? '') ?? [];
  const far = [...readers.values()].flat().filter((name) => !near.includes(name));
  return [...rank(instance, near), ...rank(instance, far)]
    .filter((name) => name !== instance)
    .slice(0, MAXIMUM_READERS_TRIED);
};
