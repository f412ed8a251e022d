import { createHash } from 'node:crypto';

/** Hexadecimal digits of a digest: 128 bits. */
const DIGEST_DIGITS = 32;

/** What makes requests the same to their targets, whatever identifier each bears. */
export interface RequestContent {
  /** Name of the organisation; empty where callers present no keys. */
  readonly organisation: string;
  readonly method: string;
  readonly host: string;
  readonly pathAndQuery: string;
  readonly body: Buffer;
}

/** Returns a digest that requests share whose content and organisation are the same. */
export const requestDigest = (content: RequestContent): string => {
  const { organisation, method, host, pathAndQuery, body } = content;
  return createHash('sha256')
    .update(JSON.stringify([organisation, method, host, pathAndQuery]))
    .update(body)
    .digest('hex')
    .slice(0, DIGEST_DIGITS);
};
