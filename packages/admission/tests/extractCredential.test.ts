import { extractCredential } from '@limpetnotch/admission';
import { createSecret } from './fixtures';

const secret = createSecret('key');

test.each([
  [['Authorization', `Bearer ${secret}`], '/'],
  [['AUTHORIZATION', `bEaReR  ${secret}`], '/'],
  [['X-Api-Key', secret], '/'],
  [['API-KEY', secret], '/'],
  [['cookie', `key=${secret}`], `/?API%5Fkey=${encodeURIComponent(secret)}`],
])('reads a key from %j %s', (headers, pathAndQuery) => {
  expect(extractCredential(headers, pathAndQuery)._unsafeUnwrap()).toBe(secret);
});

test.each([
  [['cookie', `api_key=${secret}`], '/'],
  [['authorization', 'Basic dXNlcjpwYXNz'], '/?key=other'],
])('reads no key from %j %s', (headers, pathAndQuery) => {
  expect(extractCredential(headers, pathAndQuery)._unsafeUnwrap()).toBeUndefined();
});

test.each([
  [['authorization', `Bearer ${secret}`, 'Authorization', `Bearer ${secret}`], '/'],
  [['authorization', `Bearer ${secret}`, 'x-api-key', 'other'], '/'],
  [['x-api-key', ''], `/?api_key=${secret}`],
  [[], `/?api_key=${secret}&API_KEY=other`],
  [['x-api-key', secret], `/tools/${encodeURIComponent(secret)}/run`],
])('rejects the ambiguous %j %s', (headers, pathAndQuery) => {
  expect(extractCredential(headers, pathAndQuery)._unsafeUnwrapErr()).toEqual({
    kind: 'key-ambiguous',
  });
});

test.each([
  ['authorization', `Bearer ${'a'.repeat(257)}`],
  ['authorization', `Bearer ${secret}, Bearer other`],
  ['authorization', 'Bearer'],
  ['x-api-key', ''],
  ['x-api-key', `${secret}\u0000`],
])('rejects the malformed %s', (name, value) => {
  expect(extractCredential([name, value], '/')._unsafeUnwrapErr()).toEqual({ kind: 'key-unknown' });
});
