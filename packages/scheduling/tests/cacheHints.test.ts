import { CacheHints } from '../src/cacheHints';
import type { PrefixBlock } from '../src/scheduledCall';

const MAXIMUM_BLOCKS = 64;

const prefix = (...digests: readonly string[]): readonly PrefixBlock[] =>
  digests.map((digest) => ({ digest, tokens: 100 }));

const tokensAt = (hints: CacheHints, target: string, ...digests: readonly string[]): number =>
  hints.lookUp(prefix(...digests)).find((found) => found.target === target)?.tokens ?? 0;

const hintsWith = (...digests: readonly string[]): CacheHints => {
  const hints = new CacheHints(MAXIMUM_BLOCKS);
  hints.recordPrompt('one', prefix(...digests));
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

test('applies cache events', () => {
  const hints = hintsWith('system', 'first');
  hints.applyEvent(stored(1, 'answer'));
  expect(tokensAt(hints, 'one', 'system', 'first', 'answer')).toBe(300);
  hints.applyEvent({ target: 'one', sequence: 2, change: 'evicted', digests: ['answer', 'first'] });
  expect(tokensAt(hints, 'one', 'system', 'first', 'answer')).toBe(100);
});

test('a gap halves the confidence in older hints once, however many events were lost', () => {
  const hints = hintsWith('system', 'first');
  hints.applyEvent(stored(1));
  hints.applyEvent(stored(3));
  hints.applyEvent(stored(7, 'later'));
  expect(tokensAt(hints, 'one', 'system', 'first')).toBe(100);
  expect(tokensAt(hints, 'one', 'later')).toBe(100);
});

test('responses adjust the confidence in stale hints', () => {
  const hints = hintsWith('system', 'first');
  hints.applyEvent(stored(1));
  hints.applyEvent(stored(3));
  const reportCachedTokens = (cachedTokens: number): void => {
    const [found] = hints.lookUp(prefix('system', 'first'));
    if (found) hints.updateStaleConfidence(found, cachedTokens);
  };
  for (let answer = 0; answer < 200; answer += 1) reportCachedTokens(200);
  expect(tokensAt(hints, 'one', 'system', 'first')).toBeGreaterThan(190);
  for (let answer = 0; answer < 200; answer += 1) reportCachedTokens(0);
  expect(tokensAt(hints, 'one', 'system', 'first')).toBeLessThan(10);
});

test('a restarted sequence clears the hints of the target', () => {
  const hints = hintsWith('system', 'first');
  hints.applyEvent(stored(9));
  hints.applyEvent(stored(0, 'fresh'));
  expect(tokensAt(hints, 'one', 'system', 'first')).toBe(0);
  expect(tokensAt(hints, 'one', 'fresh')).toBe(100);
});

test('the hints of a target are bounded', () => {
  const hints = new CacheHints(MAXIMUM_BLOCKS);
  for (let call = 0; call < 1_000; call += 1) hints.recordPrompt('one', prefix(`block-${call}`));
  const known = Array.from({ length: 1_000 }, (_, call) => tokensAt(hints, 'one', `block-${call}`));
  expect(known.filter((tokens) => tokens > 0).length).toBeLessThanOrEqual(MAXIMUM_BLOCKS);
  expect(known[999]).toBe(100);
});
