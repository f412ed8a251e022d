import { parseStoredOrigin, toOriginKey } from '../../src/resumption/storedOrigin';

test('a key has a bounded length and lies outside the prefix that all instances watch', () => {
  const key = toOriginKey(`organisation/${'r'.repeat(15_000)}`);
  expect(key.length).toBeLessThan(200);
  expect(key).not.toMatch(/^limpetnotch\//);
  expect(toOriginKey('organisation/r1')).not.toBe(toOriginKey('organisation/r2'));
});

test.each(['', '{}', '{"service":"s"}', '{"service":"s","version":1}'])(
  'a malformed value is no origin (%s)',
  (value) => {
    expect(parseStoredOrigin({ key: 'k', value, revision: 1 })).toBeUndefined();
  },
);
