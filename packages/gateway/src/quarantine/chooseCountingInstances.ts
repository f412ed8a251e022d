import { hash32 } from '../util/hash32';

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
  return names
    .map((name) => ({ name, score: hash32(`${digest}/${name}`) }))
    .sort((one, other) => other.score - one.score)
    .slice(0, MAXIMUM_COUNTING_INSTANCES)
    .map(({ name }) => name);
};
