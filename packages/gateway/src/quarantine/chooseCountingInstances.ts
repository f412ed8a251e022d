import { rankInstances } from '../util/rankInstances';

/** Instances that count the crashes of a request; enough that the count survives losing some. */
const MAXIMUM_COUNTING_INSTANCES = 6;

/**
 * Returns the names of the instances that count the crashes of a request, by rendezvous hashing, so
 * that all instances choose the same ones.
 */
export const chooseCountingInstances = (
  digest: string,
  names: readonly string[],
): readonly string[] => {
  if (names.length <= MAXIMUM_COUNTING_INSTANCES) return names;
  return rankInstances(digest, names).slice(0, MAXIMUM_COUNTING_INSTANCES);
};
