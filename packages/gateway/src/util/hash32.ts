import { createHash } from 'node:crypto';

const HASH_BYTES = 4;

/** How many different numbers {@link hash32} returns. */
export const HASH_RANGE = 2 ** (8 * HASH_BYTES);

/** Returns a number from 0 up to, but without, {@link HASH_RANGE} that spreads texts evenly. */
export const hash32 = (text: string): number =>
  createHash('md5').update(text).digest().readUIntBE(0, HASH_BYTES);
