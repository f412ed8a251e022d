import { connectionHeaders } from './connectionHeaders';
import { pairHeaders } from './rawHeader';
import type { RawHeader } from './rawHeader';
import { parseRequestTarget } from './requestTarget';
import { secretMentions } from './secretMentions';

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
  holdsSecret: SecretCheck,
): readonly RawHeader[] => {
  const perConnection = connectionHeaders(headers);
  return headers.filter(({ name, value }) => {
    const lowerName = name.toLowerCase();
    if (CREDENTIAL_HEADERS.has(lowerName) || perConnection.has(lowerName)) return false;
    return !holdsSecret(name) && !holdsSecret(value);
  });
};

/**
 * Removes what could show a target the caller's key: headers and query parameters that carry
 * credentials by their name, in any case and number, and those whose name or value holds the
 * secret, plain or encoded. Headers that concern one connection only are removed too. All else
 * stays as it came. A path that holds the secret is refused before, by `credentialOf`.
 */
export const stripCredentials = (
  rawHeaders: readonly string[],
  pathAndQuery: string,
  secret: string | undefined,
): StrippedRequest => {
  const { path, parameters } = parseRequestTarget(pathAndQuery);
  const holdsSecret = secret === undefined ? (): boolean => false : secretMentions(secret);
  const kept = parameters.filter(
    ({ raw, name, value }) =>
      !CREDENTIAL_PARAMETERS.has(name.toLowerCase()) && ![raw, name, value].some(holdsSecret),
  );
  const query = kept.map(({ raw }) => raw).join('&');
  return {
    headers: stripHeaders(pairHeaders(rawHeaders), holdsSecret),
    pathAndQuery: query === '' ? path : `${path}?${query}`,
  };
};
