import { HASH_RANGE, hash32 } from '../util/hash32';

/**
 * Members that hold an organisation's rate: enough that the loss of one leaves most of the rate, and
 * few enough that a part is more than a token and that all can be asked.
 */
const RATE_HOLDERS = 4;

/** Odd factor whose products spread over the range of the hash. */
const SPREAD_FACTOR = 0x9e3779b1;

/** Hashes of the names that were used lately, as each is used for all organisations. */
const hashes = new Map<string, number>();
const MAXIMUM_HASHES = 50_000;

const hashOnce = (name: string): number => {
  const known = hashes.get(name);
  if (known !== undefined) return known;
  if (hashes.size >= MAXIMUM_HASHES) hashes.clear();
  const hash = hash32(name);
  hashes.set(name, hash);
  return hash;
};

const computeScore = (organisationHash: number, member: string): number => {
  const product = Math.imul(organisationHash ^ hashOnce(member), SPREAD_FACTOR);
  return ((product ^ (product >>> 16)) >>> 0) / HASH_RANGE;
};

/** Returns the members that hold an organisation's rate, the same for equal lists of members. */
export const chooseRateHolders = (
  organisation: string,
  members: readonly string[],
): readonly string[] => {
  const organisationHash = hashOnce(organisation);
  const scored = members.map((name) => ({ name, score: computeScore(organisationHash, name) }));
  return scored
    .sort((one, other) => other.score - one.score)
    .slice(0, RATE_HOLDERS)
    .map(({ name }) => name);
};
