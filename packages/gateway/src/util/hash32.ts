import { createHash } from 'node:crypto';

const HASH_BYTES = 4;

/** Number of different values that {@link hash32} returns. */
export const HASH_RANGE = 2 ** (8 * HASH_BYTES);

/** Returns a uniformly distributed integer from 0 up to, but not including, {@link HASH_RANGE}. */
export const hash32 = (text: string): number =>
  createHash('md5').update(text).digest().readUIntBE(0, HASH_BYTES);
