import { hash32 } from '../util/hash32';

/** Instances that count the crashes of one request together, enough to outlast the loss of some. */
const MAXIMUM_COUNTING_INSTANCES = 6;

/** Returns the instances, by name, that count the crashes of a request; all agree on them. */
export const chooseKeepers = (digest: string, names: readonly string[]): readonly string[] => {
  if (names.length <= MAXIMUM_COUNTING_INSTANCES) return names;
  return names
    .map((name) => ({ name, score: hash32(`${digest}/${name}`) }))
    .sort((one, other) => other.score - one.score)
    .slice(0, MAXIMUM_COUNTING_INSTANCES)
    .map(({ name }) => name);
};
