import type { RawHeader } from './rawHeader';

const HOP_BY_HOP_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

/**
 * Returns the lower-case names of the hop-by-hop headers: the standard ones and those that the
 * `connection` header lists.
 */
export const connectionHeaders = (headers: readonly RawHeader[]): ReadonlySet<string> => {
  const named = headers
    .filter(({ name }) => name.toLowerCase() === 'connection')
    .flatMap(({ value }) => value.split(','))
    .map((name) => name.trim().toLowerCase());
  return new Set([...HOP_BY_HOP_HEADERS, ...named]);
};
