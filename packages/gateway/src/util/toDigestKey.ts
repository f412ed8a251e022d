import { createHash } from 'node:crypto';

/** Returns a key in the store of bounded length for a text of any length. */
export const toDigestKey = (prefix: string, text: string): string =>
  `${prefix}${createHash('sha256').update(text).digest('base64url')}`;
