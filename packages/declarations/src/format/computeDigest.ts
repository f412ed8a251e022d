import { createHash } from 'node:crypto';

/** Returns the SHA-256 of a value, in lower-case hexadecimal. */
export const computeDigest = (value: string): string =>
  createHash('sha256').update(value).digest('hex');
