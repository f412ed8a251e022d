import { createHash } from 'node:crypto';

/** Returns the SHA-256 of a value, in lower-case hexadecimal digits. */
export const digestOf = (value: string): string => createHash('sha256').update(value).digest('hex');
