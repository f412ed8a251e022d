import { PrefixDirectory } from '../../src/carried/prefixDirectory';

const SYSTEM = { id: 'system', tokens: 512 };

test('the next turn of a sequence reuses processed and generated tokens', () => {
  const directory = new PrefixDirectory();
  directory.record('target', [SYSTEM, { id: 'line', tokens: 600 }], 72);
  const next = [SYSTEM, { id: 'line', tokens: 900 }];
  expect(directory.cachedTokens('target', next)).toBe(512 + 672);
  expect(directory.cachedTokens('other', next)).toBe(0);
});

test('a sub-agent reuses the cached prompt of its parent', () => {
  const directory = new PrefixDirectory();
  directory.record('target', [SYSTEM, { id: 'parent', tokens: 600 }], 72);
  const prompt = [SYSTEM, { id: 'parent', tokens: 600 }, { id: 'own', tokens: 200 }];
  expect(directory.cachedTokens('target', prompt)).toBe(1_112);
});

test('a part counts only together with all earlier parts', () => {
  const directory = new PrefixDirectory();
  directory.record('target', [{ id: 'line', tokens: 600 }], 0);
  expect(directory.cachedTokens('target', [SYSTEM, { id: 'line', tokens: 600 }])).toBe(0);
});
