import { connectionHeaders } from './connectionHeaders';
import { pairHeaders } from './rawHeader';
import type { RawHeader } from './rawHeader';
import { parseRequestTarget } from './requestTarget';
import { createSecretCheck } from './createSecretCheck';

/** A request's headers, path and query without credentials. */
export interface StrippedRequest {
  readonly headers: readonly RawHeader[];
  readonly pathAndQuery: string;
}

const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'proxy-authorization',
  'proxy-authenticate',
  'cookie',
  'cookie2',
  'set-cookie',
  'x-api-key',
  'api-key',
  'x-auth-token',
  'x-access-token',
  'x-authorization',
]);

const CREDENTIAL_PARAMETERS: ReadonlySet<string> = new Set([
  'api_key',
  'api-key',
  'apikey',
  'x-api-key',
  'access_token',
  'auth_token',
  'authorization',
]);

type SecretCheck = (text: string) => boolean;

const stripHeaders = (
  headers: readonly RawHeader[],
  containsSecret: SecretCheck,
): readonly RawHeader[] => {
  const perConnection = connectionHeaders(headers);
  return headers.filter(({ name, value }) => {
    const lowerName = name.toLowerCase();
    if (CREDENTIAL_HEADERS.has(lowerName) || perConnection.has(lowerName)) return false;
    return !containsSecret(name) && !containsSecret(value);
  });
};

/**
 * Removes everything that could reveal the caller's key to a target: all headers and query
 * parameters that carry credentials by their name, in any case, and those whose name or value
 * contains the secret, plain or encoded. Hop-by-hop headers are removed as well. The rest is left
 * unchanged. A path that contains the secret is rejected earlier, when the key is read.
 */
export const stripCredentials = (
  rawHeaders: readonly string[],
  pathAndQuery: string,
  secret: string | undefined,
): StrippedRequest => {
  const { path, parameters } = parseRequestTarget(pathAndQuery);
  const containsSecret = secret === undefined ? (): boolean => false : createSecretCheck(secret);
  const kept = parameters.filter(
    ({ raw, name, value }) =>
      !CREDENTIAL_PARAMETERS.has(name.toLowerCase()) && ![raw, name, value].some(containsSecret),
  );
  const query = kept.map(({ raw }) => raw).join('&');
  return {
    headers: stripHeaders(pairHeaders(rawHeaders), containsSecret),
    pathAndQuery: query === '' ? path : `${path}?${query}`,
  };
};
