import { filterTargetsByTrials } from '../../src/carried/filterTargetsByTrials';

const candidate = (id: string, estimatedLoad: number, trials = 0) => ({
  id,
  estimatedLoad,
  trials,
});

const idsOf = (candidates: readonly { readonly id: string }[]): readonly string[] =>
  candidates.map(({ id }) => id);

test('a request under suspicion goes to the least loaded targets', () => {
  const candidates = [candidate('a', 3), candidate('b', 1), candidate('c', 1)];
  expect(idsOf(filterTargetsByTrials(candidates, true))).toEqual(['b', 'c']);
});

test('separates requests under suspicion from each other', () => {
  const candidates = [candidate('a', 3), candidate('b', 1, 1)];
  expect(idsOf(filterTargetsByTrials(candidates, true))).toEqual(['a']);
});

test('other requests avoid targets with a request under suspicion', () => {
  const candidates = [candidate('a', 3), candidate('b', 0, 1), candidate('c', 2)];
  expect(idsOf(filterTargetsByTrials(candidates, false))).toEqual(['a', 'c']);
});

test('keeps all targets eligible if each has a request under suspicion', () => {
  const candidates = [candidate('a', 3, 1), candidate('b', 0, 2)];
  expect(idsOf(filterTargetsByTrials(candidates, false))).toEqual(['a', 'b']);
  expect(idsOf(filterTargetsByTrials(candidates, true))).toEqual(['b']);
});

test('returns no target for no candidates', () => {
  expect(filterTargetsByTrials([], true)).toEqual([]);
});
