import { createHash, randomBytes } from 'node:crypto';
import type { KeySpec } from '@limpetnotch/declarations';
import { stringify } from 'yaml';

const SECRET_BYTES = 32;
const SUFFIX_BYTES = 4;
const SECRET_PREFIX = 'lnk_';
const MAXIMUM_NAME_LENGTH = 63;
const SUFFIX_LENGTH = 1 + SUFFIX_BYTES * 2;

/** A new key with its secret, which is shown once and never stored. */
export interface IssuedKey {
  readonly name: string;
  readonly secret: string;
  readonly spec: KeySpec;
}

const generateName = (organisation: string): string => {
  const namePrefix = organisation.slice(0, MAXIMUM_NAME_LENGTH - SUFFIX_LENGTH);
  return `${namePrefix}-${randomBytes(SUFFIX_BYTES).toString('hex')}`;
};

/** Creates a key of an organisation with a random secret. */
export const createKey = (organisation: string, name: string | undefined): IssuedKey => {
  const secret = `${SECRET_PREFIX}${randomBytes(SECRET_BYTES).toString('base64url')}`;
  const digest = `sha256:${createHash('sha256').update(secret).digest('hex')}`;
  return {
    name: name ?? generateName(organisation),
    secret,
    spec: { organisation, digest, state: 'active' },
  };
};

/** Formats the YAML document that declares a key, for a folder under version control. */
export const formatKeyDocument = ({ name, spec }: IssuedKey): string =>
  stringify({ kind: 'key', name, spec });
