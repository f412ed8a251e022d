import { SeededRandom } from '@limpetnotch/stand-ins';
import { drawZone } from '../../src/capacity/drawZone';
import { fillShares } from '../../src/capacity/fillShares';
import { interpretLoads } from '../../src/capacity/interpretLoads';
import { placeRequest } from '../../src/carried/sessionPlacement';
import type { PlacementCandidate } from '../../src/carried/sessionPlacement';

const SHARED = [
  { capacity: 16, load: 0 },
  { capacity: 16, load: 8 },
  { capacity: 8, load: 8 },
];

test('few requests fill the least loaded target, many approach the capacities', () => {
  expect(fillShares(SHARED, 4)).toEqual([1, 0, 0]);
  expect(fillShares(SHARED, 24).map((share) => share.toFixed(2))).toEqual(['0.67', '0.33', '0.00']);
  const many = fillShares(SHARED, 40_000);
  expect(many.map((share) => share.toFixed(1))).toEqual(['0.4', '0.4', '0.2']);
});

test('shares add up to one', () => {
  const random = new SeededRandom(3);
  for (let round = 0; round < 200; round += 1) {
    const targets = Array.from({ length: 5 }, () => ({
      capacity: 1 + random.integer(0, 15),
      load: random.fraction() * 20,
    }));
    const shares = fillShares(targets, 0.5 + random.fraction() * 30);
    expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
  }
});

/** Guards against a target that an instance has not heard of being taken for idle. */
test('a target without a recent report is expected to have the mean load', () => {
  const view = { own: 0, others: 8, reportAgeMilliseconds: 0, durationPercent: undefined };
  const unheard = { ...view, others: 0, reportAgeMilliseconds: Infinity };
  const { loads } = interpretLoads(
    [
      { capacity: 16, view },
      { capacity: 8, view: unheard },
    ],
    50,
  );
  expect(loads).toEqual([8, 4]);
});

test('loads are finite without any report', () => {
  const view = {
    own: 2,
    others: 0,
    reportAgeMilliseconds: Infinity,
    durationPercent: undefined,
  };
  expect(interpretLoads([{ capacity: 4, view }], 50)).toEqual({
    loads: [2],
    concurrentRequests: 1,
  });
});

test('a zone with few targets gives a part of its requests to the others', () => {
  const random = new SeededRandom(5);
  const targets = ['a', 'b', 'b', 'c', 'c'].map((availabilityZone) => ({
    availabilityZone,
    capacity: 16,
  }));
  const instanceZones = Array.from({ length: 96 }, (_, index) => 'abc'[index % 3] ?? '');
  const draws = Array.from({ length: 3_000 }, () =>
    drawZone({ ownZone: 'a', instanceZones, targets }, () => random.fraction()),
  );
  const keptShare = draws.filter((zone) => zone === 'a').length / draws.length;
  expect(keptShare).toBeGreaterThan(0.58);
  expect(keptShare).toBeLessThan(0.68);
  const situation = { ownZone: 'b', instanceZones, targets };
  expect(drawZone(situation, () => 0.999)).toBe('b');
});

test('without targets the own zone is preferred', () => {
  const zones = ['a', 'a', 'a', 'a'];
  expect(drawZone({ ownZone: 'a', instanceZones: zones, targets: [] }, () => 0.5)).toBe('a');
});

/** Guards against instances with the same reports sending all new programs to one target. */
test('programs whose home targets are loaded spread over the others', () => {
  const candidates = Array.from({ length: 12 }, (_, index): PlacementCandidate => ({
    id: `t${index}`,
    availabilityZone: 'a',
    slots: 16,
    estimatedLoad: index < 6 ? 12 : 2,
    slowness: 1,
    cachedTokens: 0,
  }));
  const placed = Array.from({ length: 240 }, (_, program) =>
    placeRequest(
      {
        availabilityZone: 'a',
        work: {
          kind: 'model',
          affinityKey: `p${program}`,
          promptTokens: 1_500,
          usualMilliseconds: 200,
        },
      },
      candidates,
    ),
  );
  const counts = candidates.map(
    ({ id }) => placed.filter((placement) => placement?.targetId === id).length,
  );
  expect(counts.slice(0, 6)).toEqual([0, 0, 0, 0, 0, 0]);
  expect(Math.max(...counts)).toBeLessThan(60);
});
