import { createHash } from 'node:crypto';
import type { RankNames } from '../../src/decisions/chooseReaders';

/** Ranks names by rendezvous hashing. */
export const rankNames: RankNames = (key, names) =>
  names
    .map((name) => ({ name, score: createHash('md5').update(`${key}/${name}`).digest('hex') }))
    .sort((one, other) => other.score.localeCompare(one.score))
    .map(({ name }) => name);
