import { hash32 } from './hash32';

/** Sorts the names of instances for a key by rendezvous hashing, so that equal lists rank equally. */
export const rankInstances = (key: string, names: readonly string[]): readonly string[] =>
  names
    .map((name) => ({ name, score: hash32(`${key}/${name}`) }))
    .sort((one, other) => other.score - one.score)
    .map(({ name }) => name);
