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
 * Names in lower case of the headers that concern one connection only: the standard ones and those
 * that `connection` names.
 */
export const connectionHeaders = (headers: readonly RawHeader[]): ReadonlySet<string> => {
  const named = headers
    .filter(({ name }) => name.toLowerCase() === 'connection')
    .flatMap(({ value }) => value.split(','))
    .map((name) => name.trim().toLowerCase());
  return new Set([...HOP_BY_HOP_HEADERS, ...named]);
};
