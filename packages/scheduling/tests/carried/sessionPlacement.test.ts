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
