import { createSecretCheck, stripCredentials } from '@limpetnotch/admission';
import fc from 'fast-check';
import { createSecret } from './fixtures';

const secret = createSecret('key');

test('removes all credentials by name in any case, and hop-by-hop headers', () => {
  const { headers, pathAndQuery } = stripCredentials(
    [
      ...['AUTHORIZATION', 'Basic other', 'authorization', 'x', 'Cookie', 'a=b', 'Set-Cookie', 'c'],
      ...['Proxy-Authorization', 'p', 'X-API-Key', 'k', 'api-key', 'k', 'Connection', 'X-Hop, te'],
      ...['x-hop', '1', 'Upgrade', 'h2c', 'Content-Type', 'text/plain', 'x-forward-id', '7'],
    ],
    '/tools/run?a=1&Api%5FKey=other&access_token=x&b=%20',
    secret,
  );
  expect(headers.map(({ name }) => name)).toEqual(['Content-Type', 'x-forward-id']);
  expect(pathAndQuery).toBe('/tools/run?a=1&b=%20');
});

const hexadecimal = (character: string): string =>
  `%${character.charCodeAt(0).toString(16).padStart(2, '0')}`;

const encodings: readonly ((text: string) => string)[] = [
  (text) => text,
  (text) => text.toUpperCase(),
  (text) => text.replace(/./g, hexadecimal),
  (text) => encodeURIComponent(text.replace(/./g, hexadecimal)),
  (text) => Buffer.from(text).toString('base64'),
  (text) => Buffer.from(`user:${text}`).toString('base64url'),
  (text) => encodeURIComponent(Buffer.from(`a${text}`).toString('base64')),
];

test('removes every header and parameter that contains the secret in some encoding', () => {
  const text = fc.stringMatching(/^[a-z ]{0,8}$/);
  const encoding = fc.constantFrom(...encodings);
  fc.assert(
    fc.property(text, encoding, text, fc.nat(2), (before, encode, after, place) => {
      const hidden = `${before} ${encode(secret)} ${after}`;
      const rawHeaders = place === 0 ? ['x-forward-note', hidden, 'accept', 'text/html'] : [];
      const parameter = encodeURIComponent(hidden);
      const query = ['', `?a=1&note=${parameter}`, `?${parameter}=1&a=1`][place] ?? '';
      const stripped = stripCredentials(rawHeaders, `/tools${query}`, secret);
      expect(stripped.headers.map(({ name }) => name)).toEqual(place === 0 ? ['accept'] : []);
      expect(stripped.pathAndQuery).toBe(place === 0 ? '/tools' : '/tools?a=1');
    }),
    { seed: 5, numRuns: 300 },
  );
});

test('preserves other values', () => {
  const pathAndQuery = '/tools?note=lnk_other_0123456789abcdef&key=7';
  expect(stripCredentials([], pathAndQuery, secret).pathAndQuery).toBe(pathAndQuery);
  expect(createSecretCheck(secret)('%E0%A4%A')).toBe(false);
});
