import { placeRequest } from '../../src/carried/sessionPlacement';
import type { PlacementCandidate, PlacementRequest } from '../../src/carried/sessionPlacement';

const candidate = (
  id: string,
  estimatedLoad: number,
  more: Partial<PlacementCandidate> = {},
): PlacementCandidate => ({
  id,
  availabilityZone: 'a',
  slots: 16,
  estimatedLoad,
  slowness: 1,
  cachedTokens: 0,
  ...more,
});

const turnOf = (affinityKey: string): PlacementRequest => ({
  availabilityZone: 'a',
  work: { kind: 'model', affinityKey, promptTokens: 1_500, usualMilliseconds: 200 },
});

const plain: PlacementRequest = { availabilityZone: 'a', work: { kind: 'plain' } };

test('instances agree on the home target of a program', () => {
  const candidates = ['1', '2', '3', '4'].map((id) => candidate(id, 4));
  const first = placeRequest(turnOf('program'), candidates);
  const second = placeRequest(turnOf('program'), [...candidates].reverse());
  expect(first?.reason).toBe('home');
  expect(second?.targetId).toBe(first?.targetId);
});

test('a turn goes to the target that caches its prompt', () => {
  const candidates = [candidate('1', 3), candidate('2', 4, { cachedTokens: 1_400 })];
  expect(placeRequest(turnOf('program'), candidates)).toEqual({
    targetId: '2',
    reason: 'cached-prompt',
  });
});

test('a turn avoids an overloaded target that caches its prompt', () => {
  const candidates = [candidate('1', 3), candidate('2', 12, { cachedTokens: 1_400 })];
  expect(placeRequest(turnOf('program'), candidates)?.targetId).toBe('1');
});

test('programs spread evenly over the targets', () => {
  const load = new Map(['1', '2', '3', '4', '5', '6'].map((id) => [id, 0]));
  for (let program = 0; program < 96; program += 1) {
    const candidates = [...load].map(([id, count]) => candidate(id, count));
    const placed = placeRequest(turnOf(`program-${program}`), candidates);
    load.set(placed!.targetId, (load.get(placed!.targetId) ?? 0) + 1);
  }
  expect(Math.max(...load.values())).toBeLessThanOrEqual(16 + 2);
});

test('a turn avoids a slow target that caches its prompt', () => {
  const candidates = [candidate('1', 3), candidate('2', 3, { cachedTokens: 1_400, slowness: 3 })];
  expect(placeRequest(turnOf('program'), candidates)?.targetId).toBe('1');
});

test('a turn prefers a target with free slots to a queue', () => {
  const candidates = [candidate('1', 6), candidate('2', 20, { cachedTokens: 1_400 })];
  expect(placeRequest(turnOf('program'), candidates)?.targetId).toBe('1');
});

test('plain requests prefer their availability zone', () => {
  const candidates = [candidate('near', 5), candidate('far', 4, { availabilityZone: 'b' })];
  expect(placeRequest(plain, candidates)).toEqual({ targetId: 'near', reason: 'least-loaded' });
});

test('plain requests avoid a slow target', () => {
  const candidates = [candidate('slow', 0, { slowness: 4 }), candidate('usual', 1)];
  expect(placeRequest(plain, candidates)?.targetId).toBe('usual');
});

test('places nothing without targets', () => {
  expect(placeRequest(plain, [])).toBeUndefined();
  expect(placeRequest(turnOf('program'), [])).toBeUndefined();
});

const objectOf = (objectKey: string): PlacementRequest => ({
  availabilityZone: 'a',
  work: { kind: 'object', objectKey },
});

const targets = (count: number, load = 0): PlacementCandidate[] =>
  Array.from({ length: count }, (_value, index) => candidate(`t${index}`, load));

const findObjectTarget = (key: string, candidates: readonly PlacementCandidate[]): string =>
  placeRequest(objectOf(key), candidates)?.targetId ?? '';

/** Returns the candidates with other properties of one of them. */
const withChange = (
  candidates: readonly PlacementCandidate[],
  id: string,
  change: Partial<PlacementCandidate>,
): PlacementCandidate[] => candidates.map((one) => (one.id === id ? { ...one, ...change } : one));

test('instances agree on the target of an object, whatever their availability zone', () => {
  const first = placeRequest(objectOf('17'), targets(6, 2));
  const second = placeRequest(
    { ...objectOf('17'), availabilityZone: 'b' },
    [...targets(6, 2)].reverse(),
  );
  expect(first?.reason).toBe('object');
  expect(second).toEqual(first);
});

test('objects are spread over the targets', () => {
  const counts = new Map<string, number>();
  for (let key = 0; key < 1_200; key += 1) {
    const id = findObjectTarget(String(key), targets(6));
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  expect(counts.size).toBe(6);
  counts.forEach((count) => expect(Math.abs(count - 200)).toBeLessThan(60));
});

test('a target that leaves moves only its own objects', () => {
  const all = targets(6);
  const remaining = all.filter(({ id }) => id !== 't3');
  for (let key = 0; key < 300; key += 1) {
    const before = findObjectTarget(String(key), all);
    if (before !== 't3') expect(findObjectTarget(String(key), remaining)).toBe(before);
  }
});

test('an object stays at its target up to a margin of load, then goes to one other target', () => {
  const all = targets(6, 2);
  const home = findObjectTarget('17', all);
  expect(findObjectTarget('17', withChange(all, home, { estimatedLoad: 10 }))).toBe(home);
  const busy = withChange(all, home, { estimatedLoad: 11 });
  const next = placeRequest(objectOf('17'), busy);
  expect(next).toEqual({ targetId: expect.not.stringMatching(home), reason: 'object-spill' });
  expect(findObjectTarget('17', [...busy].reverse())).toBe(next?.targetId);
});

test('an object does not wait at its full or slow target while another one has a free slot', () => {
  const all = targets(2, 15);
  const home = findObjectTarget('17', all);
  expect(findObjectTarget('17', withChange(all, home, { estimatedLoad: 16 }))).not.toBe(home);
  expect(findObjectTarget('17', withChange(targets(2, 4), home, { slowness: 7.5 }))).not.toBe(home);
});

test('an object stays at its target while all are equally full', () => {
  const home = findObjectTarget('17', targets(6));
  expect(findObjectTarget('17', targets(6, 40))).toBe(home);
  expect(placeRequest(objectOf('17'), [])).toBeUndefined();
});
