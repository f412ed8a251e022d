import { createHash } from 'node:crypto';

/** Number of hexadecimal digits in a digest: 128 bits. */
const DIGEST_DIGITS = 32;

/** Content by which targets treat requests as the same, regardless of the request identifier. */
export interface RequestContent {
  /** Name of the organisation; empty if callers present no keys. */
  readonly organisation: string;
  readonly method: string;
  readonly host: string;
  readonly pathAndQuery: string;
  readonly body: Buffer;
}

/** Returns a digest that is the same for requests with the same content and organisation. */
export const requestDigest = (content: RequestContent): string => {
  const { organisation, method, host, pathAndQuery, body } = content;
  return createHash('sha256')
    .update(JSON.stringify([organisation, method, host, pathAndQuery]))
    .update(body)
    .digest('hex')
    .slice(0, DIGEST_DIGITS);
};
