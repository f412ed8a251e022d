import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import { pairHeaders } from './rawHeader';
import type { RawHeader } from './rawHeader';
import { parseRequestTarget } from './requestTarget';
import { createSecretCheck } from './createSecretCheck';

const KEY_HEADERS: ReadonlySet<string> = new Set(['x-api-key', 'api-key']);
const KEY_PARAMETER = 'api_key';
const BEARER = /^bearer(?: +(.*))?$/i;
const MAXIMUM_SECRET_LENGTH = 256;
const SECRET = /^[\x21-\x7e]+$/;

const extractHeaderCredentials = ({ name, value }: RawHeader): readonly string[] => {
  const lowerName = name.toLowerCase();
  if (KEY_HEADERS.has(lowerName)) return [value.trim()];
  if (lowerName !== 'authorization') return [];
  const bearer = BEARER.exec(value.trim());
  return bearer ? [(bearer[1] ?? '').trim()] : [];
};

const isWellFormed = (secret: string): boolean =>
  secret.length <= MAXIMUM_SECRET_LENGTH && SECRET.test(secret);

/**
 * Returns the key of a request, or `undefined` if it has none. A key is read from `authorization:
 * Bearer`, `x-api-key`, `api-key` and the query parameter `api_key`; their names are
 * case-insensitive. Fails with `key-ambiguous` if there is more than one of these, or if the key
 * also occurs in the path, where it could not be removed. Fails with `key-unknown` if the key is
 * too long or malformed.
 */
export const extractCredential = (
  rawHeaders: readonly string[],
  pathAndQuery: string,
): Result<string | undefined, AdmissionError> => {
  const { path, parameters } = parseRequestTarget(pathAndQuery);
  const credentials = [
    ...pairHeaders(rawHeaders).flatMap(extractHeaderCredentials),
    ...parameters
      .filter(({ name }) => name.toLowerCase() === KEY_PARAMETER)
      .map(({ value }) => value),
  ];
  const [secret] = credentials;
  if (credentials.length > 1) return err({ kind: 'key-ambiguous' });
  if (secret === undefined) return ok(undefined);
  if (!isWellFormed(secret)) return err({ kind: 'key-unknown' });
  if (createSecretCheck(secret)(path)) return err({ kind: 'key-ambiguous' });
  return ok(secret);
};
