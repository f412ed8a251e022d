import { trialTargets } from '../../src/carried/trialTargets';

const candidate = (id: string, estimatedLoad: number, trials = 0) => ({
  id,
  estimatedLoad,
  trials,
});

const idsOf = (candidates: readonly { readonly id: string }[]): readonly string[] =>
  candidates.map(({ id }) => id);

test('a request under suspicion goes where least is under way', () => {
  const candidates = [candidate('a', 3), candidate('b', 1), candidate('c', 1)];
  expect(idsOf(trialTargets(candidates, true))).toEqual(['b', 'c']);
});

test('requests under suspicion run apart from each other', () => {
  const candidates = [candidate('a', 3), candidate('b', 1, 1)];
  expect(idsOf(trialTargets(candidates, true))).toEqual(['a']);
});

test('other requests keep clear of one under suspicion', () => {
  const candidates = [candidate('a', 3), candidate('b', 0, 1), candidate('c', 2)];
  expect(idsOf(trialTargets(candidates, false))).toEqual(['a', 'c']);
});

test('any target will do where none is without a trial', () => {
  const candidates = [candidate('a', 3, 1), candidate('b', 0, 2)];
  expect(idsOf(trialTargets(candidates, false))).toEqual(['a', 'b']);
  expect(idsOf(trialTargets(candidates, true))).toEqual(['b']);
});

test('no target is made up', () => {
  expect(trialTargets([], true)).toEqual([]);
});
