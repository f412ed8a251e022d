import { CacheHints } from '../src/cacheHints';
import type { PrefixBlock } from '../src/scheduledCall';

const MAXIMUM_BLOCKS = 64;

const prefix = (...digests: readonly string[]): readonly PrefixBlock[] =>
  digests.map((digest) => ({ digest, tokens: 100 }));

const tokensAt = (hints: CacheHints, target: string, ...digests: readonly string[]): number =>
  hints.lookUp(prefix(...digests)).find((found) => found.target === target)?.tokens ?? 0;

const hintsWith = (...digests: readonly string[]): CacheHints => {
  const hints = new CacheHints(MAXIMUM_BLOCKS);
  hints.noteSent('one', prefix(...digests));
  return hints;
};

const stored = (sequence: number, ...digests: readonly string[]) =>
  ({ target: 'one', sequence, change: 'stored', digests }) as const;

test('finds the longest prefix that was sent', () => {
  const hints = hintsWith('system', 'first', 'second');
  expect(tokensAt(hints, 'one', 'system', 'first', 'second', 'third')).toBe(300);
  expect(tokensAt(hints, 'one', 'system', 'other')).toBe(100);
  expect(tokensAt(hints, 'two', 'system', 'first', 'second')).toBe(0);
});

test('follows events', () => {
  const hints = hintsWith('system', 'first');
  hints.takeEvent(stored(1, 'answer'));
  expect(tokensAt(hints, 'one', 'system', 'first', 'answer')).toBe(300);
  hints.takeEvent({ target: 'one', sequence: 2, change: 'evicted', digests: ['answer', 'first'] });
  expect(tokensAt(hints, 'one', 'system', 'first', 'answer')).toBe(100);
});

test('a gap halves the trust in older hints once, however many events were lost', () => {
  const hints = hintsWith('system', 'first');
  hints.takeEvent(stored(1));
  hints.takeEvent(stored(3));
  hints.takeEvent(stored(7, 'later'));
  expect(tokensAt(hints, 'one', 'system', 'first')).toBe(100);
  expect(tokensAt(hints, 'one', 'later')).toBe(100);
});

test('answers tell what stale hints are worth', () => {
  const hints = hintsWith('system', 'first');
  hints.takeEvent(stored(1));
  hints.takeEvent(stored(3));
  const learn = (cachedTokens: number): void => {
    const [found] = hints.lookUp(prefix('system', 'first'));
    if (found) hints.learn(found, cachedTokens);
  };
  for (let answer = 0; answer < 200; answer += 1) learn(200);
  expect(tokensAt(hints, 'one', 'system', 'first')).toBeGreaterThan(190);
  for (let answer = 0; answer < 200; answer += 1) learn(0);
  expect(tokensAt(hints, 'one', 'system', 'first')).toBeLessThan(10);
});

test('a sequence that starts again means an empty cache', () => {
  const hints = hintsWith('system', 'first');
  hints.takeEvent(stored(9));
  hints.takeEvent(stored(0, 'fresh'));
  expect(tokensAt(hints, 'one', 'system', 'first')).toBe(0);
  expect(tokensAt(hints, 'one', 'fresh')).toBe(100);
});

test('the hints of a target are bounded', () => {
  const hints = new CacheHints(MAXIMUM_BLOCKS);
  for (let call = 0; call < 1_000; call += 1) hints.noteSent('one', prefix(`block-${call}`));
  const known = Array.from({ length: 1_000 }, (_, call) => tokensAt(hints, 'one', `block-${call}`));
  expect(known.filter((tokens) => tokens > 0).length).toBeLessThanOrEqual(MAXIMUM_BLOCKS);
  expect(known[999]).toBe(100);
});
