import { createHash, randomBytes } from 'node:crypto';
import type { KeySpec } from '@limpetnotch/declarations';
import { stringify } from 'yaml';

const SECRET_BYTES = 32;
const SUFFIX_BYTES = 4;
const SECRET_PREFIX = 'lnk_';
const MAXIMUM_NAME_LENGTH = 63;
const SUFFIX_LENGTH = 1 + SUFFIX_BYTES * 2;

/** A new key with its secret, which is shown once and kept nowhere. */
export interface IssuedKey {
  readonly name: string;
  readonly secret: string;
  readonly spec: KeySpec;
}

const nameFor = (organisation: string): string => {
  const start = organisation.slice(0, MAXIMUM_NAME_LENGTH - SUFFIX_LENGTH);
  return `${start}-${randomBytes(SUFFIX_BYTES).toString('hex')}`;
};

/** Makes a key of an organisation from random bytes. */
export const createKey = (organisation: string, name: string | undefined): IssuedKey => {
  const secret = `${SECRET_PREFIX}${randomBytes(SECRET_BYTES).toString('base64url')}`;
  const digest = `sha256:${createHash('sha256').update(secret).digest('hex')}`;
  return {
    name: name ?? nameFor(organisation),
    secret,
    spec: { organisation, digest, state: 'active' },
  };
};

/** Returns the document that declares a key, for a folder under version control. */
export const keyDocument = ({ name, spec }: IssuedKey): string =>
  stringify({ kind: 'key', name, spec });
