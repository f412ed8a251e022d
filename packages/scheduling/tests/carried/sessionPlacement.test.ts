import { placeRequest } from '../../src/carried/sessionPlacement';
import type { PlacementCandidate } from '../../src/carried/sessionPlacement';

const candidate = (id: string, estimatedLoad: number, zone = 'a'): PlacementCandidate => ({
  id,
  availabilityZone: zone,
  slots: 16,
  ownInFlight: estimatedLoad,
  estimatedLoad,
  slowness: 1,
});

const request = { affinityKey: 'session-1', availabilityZone: 'a' };

test('turns of a session stay together', () => {
  const candidates = ['1', '2', '3', '4'].map((id) => candidate(id, 4));
  const placements = [1, 2, 3].map(() => placeRequest(request, candidates));
  expect(new Set(placements.map((placement) => placement?.targetId)).size).toBe(1);
  expect(placements[0]?.reason).toBe('affinity');
});

test('a burst on one target overflows to the next', () => {
  const candidates = ['1', '2', '3', '4'].map((id) => candidate(id, 4));
  const home = placeRequest(request, candidates)?.targetId ?? '';
  const busy = candidates.map((one) => (one.id === home ? candidate(home, 14) : one));
  const placement = placeRequest(request, busy);
  expect(placement?.reason).toBe('affinity-overflow');
  expect(placement?.targetId).not.toBe(home);
});

test('sessions spread over targets within the load bound', () => {
  const load = new Map(['1', '2', '3', '4', '5', '6'].map((id) => [id, 0]));
  for (let session = 0; session < 96; session += 1) {
    const candidates = [...load].map(([id, count]) => candidate(id, count));
    const placed = placeRequest({ ...request, affinityKey: `s${session}` }, candidates);
    load.set(placed!.targetId, (load.get(placed!.targetId) ?? 0) + 1);
  }
  expect(Math.max(...load.values())).toBeLessThanOrEqual(Math.ceil((96 / 6) * 1.3) + 1);
});

test('requests without a session prefer their availability zone', () => {
  const candidates = [candidate('near', 5, 'a'), candidate('far', 4, 'b')];
  const placement = placeRequest({ ...request, affinityKey: undefined }, candidates);
  expect(placement).toEqual({ targetId: 'near', reason: 'least-loaded' });
});

test('nothing is placed without targets', () => {
  expect(placeRequest(request, [])).toBeUndefined();
});
