import { mentionsSecret } from './mentionsSecret';
import { pairHeaders } from './rawHeader';
import type { RawHeader } from './rawHeader';
import { parseRequestTarget } from './requestTarget';

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

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const namedByConnection = (headers: readonly RawHeader[]): ReadonlySet<string> =>
  new Set(
    headers
      .filter(({ name }) => name.toLowerCase() === 'connection')
      .flatMap(({ value }) => value.split(','))
      .map((name) => name.trim().toLowerCase()),
  );

const holdsSecret = (name: string, value: string, secret: string | undefined): boolean =>
  secret !== undefined && (mentionsSecret(name, secret) || mentionsSecret(value, secret));

const stripHeaders = (
  headers: readonly RawHeader[],
  secret: string | undefined,
): readonly RawHeader[] => {
  const perConnection = namedByConnection(headers);
  return headers.filter(({ name, value }) => {
    const lowerName = name.toLowerCase();
    if (CREDENTIAL_HEADERS.has(lowerName) || HOP_BY_HOP_HEADERS.has(lowerName)) return false;
    return !perConnection.has(lowerName) && !holdsSecret(name, value, secret);
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
  const kept = parameters.filter(
    ({ raw, name, value }) =>
      !CREDENTIAL_PARAMETERS.has(name.toLowerCase()) &&
      !holdsSecret(name, value, secret) &&
      !holdsSecret('', raw, secret),
  );
  const query = kept.map(({ raw }) => raw).join('&');
  return {
    headers: stripHeaders(pairHeaders(rawHeaders), secret),
    pathAndQuery: query === '' ? path : `${path}?${query}`,
  };
};
