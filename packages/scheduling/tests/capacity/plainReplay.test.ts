import type { ReplayOptions, ReplayResult, ReplayTarget } from './replayPlain';
import { replayPlain } from './replayPlain';

const ZONES = ['a', 'b', 'c'];
const SLOTS = 16;
const WORK_MILLISECONDS = 50;
const SLOW_FROM = 2_000;
const SLOW_TO = 8_000;

const zonesOf = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => ZONES[index % ZONES.length] ?? '');

const createTargets = (
  count: number,
  change: (index: number) => Partial<ReplayTarget> = () => ({}),
): ReplayTarget[] =>
  zonesOf(count).map((availabilityZone, index) => ({
    id: `t${index}`,
    availabilityZone,
    slots: SLOTS,
    knee: SLOTS,
    ...change(index),
  }));

const describeResult = (result: ReplayResult): string =>
  [
    `busiest ${result.busiestShare.toFixed(2)}`,
    `momentary ${result.momentaryShare.toFixed(2)}`,
    `mean ${result.meanMilliseconds.toFixed(1)} ms`,
    `p99 ${result.p99Milliseconds} ms`,
    `refused ${result.refused}`,
  ].join(', ');

/** Replays at a load per slot, under the former placement and under the present one. */
const compare = (
  instances: number,
  targets: readonly ReplayTarget[],
  load: number,
  more: Partial<ReplayOptions> = {},
): { former: ReplayResult; present: ReplayResult } => {
  const options: Omit<ReplayOptions, 'policy'> = {
    seed: 7,
    instanceZones: zonesOf(instances),
    targets,
    requestsPerSecond: (targets.length * SLOTS * load * 1_000) / WORK_MILLISECONDS,
    workMilliseconds: WORK_MILLISECONDS,
    durationMilliseconds: 10_000,
    ...more,
  };
  const results = {
    former: replayPlain({ ...options, policy: 'former' }),
    present: replayPlain({ ...options, policy: 'capacity' }),
  };
  if (process.env.REPLAY_FIGURES) {
    Object.entries(results).forEach(([policy, result]) => {
      const { currentTestName } = expect.getState();
      process.stdout.write(`${currentTestName} | ${policy} | ${describeResult(result)}\n`);
    });
  }
  return results;
};

const slowFirst = (reportedPercentAt?: ReplayTarget['reportedPercentAt']) => (index: number) =>
  index === 0
    ? {
        slowdownAt: (at: number) => (at >= SLOW_FROM && at < SLOW_TO ? 7.5 : 1),
        ...(reportedPercentAt && { reportedPercentAt }),
      }
    : { ...(reportedPercentAt && { reportedPercentAt: () => 100 }) };

/** Guards against zones with few targets getting as many requests as those with many. */
test.each([
  [12, 0.5],
  [10, 0.5],
  [10, 0.08],
  [5, 0.08],
  [4, 0.08],
])('96 instances with stale views spread requests over %d targets at load %d', (count, load) => {
  const { present } = compare(96, createTargets(count), load);
  expect(present.busiestShare).toBeLessThan(1.25);
});

/** Guards against all instances that have not heard of a target taking it for idle. */
test('the busiest of many targets is less busy than before', () => {
  const { former, present } = compare(96, createTargets(24), 0.5, { durationMilliseconds: 4_000 });
  expect(present.momentaryShare).toBeLessThan(former.momentaryShare);
});

test('a target that is slow for a while gets few requests, and more again afterwards', () => {
  const more = { durationMilliseconds: 12_000 };
  const { former, present } = compare(96, createTargets(12, slowFirst()), 0.3, more);
  expect(present.p99Milliseconds).toBeLessThan(former.p99Milliseconds);
  const during = present.servedBetween('t0', SLOW_FROM + 1_000, SLOW_TO);
  expect(during).toBeLessThan(present.servedBetween('t3', SLOW_FROM + 1_000, SLOW_TO) / 3);
  const after = present.servedBetween('t0', SLOW_TO + 2_000, 12_000);
  expect(after).toBeGreaterThan(present.servedBetween('t3', SLOW_TO + 2_000, 12_000) * 0.4);
});

test('targets that share machines get fewer requests than others', () => {
  const shared = (index: number): Partial<ReplayTarget> =>
    index < 3 ? { machine: 'm', knee: 18 } : { knee: 12 };
  const { former, present } = compare(96, createTargets(12, shared), 0.5);
  expect(present.p99Milliseconds).toBeLessThan(former.p99Milliseconds);
  expect(present.meanMilliseconds).toBeLessThan(former.meanMilliseconds);
});

test('targets that are added empty are used, and not by all at once', () => {
  const added = (index: number): Partial<ReplayTarget> =>
    index < 3 ? { fromMilliseconds: 4_000 } : {};
  const { former, present } = compare(96, createTargets(12, added), 0.5);
  const meanOf = (ids: readonly string[], from: number, to: number): number =>
    ids.reduce((sum, id) => sum + present.servedBetween(id, from, to), 0) / ids.length;
  const [addedIds, olderIds] = [
    ['t0', 't1', 't2'],
    ['t3', 't4', 't5'],
  ];
  const ratio = meanOf(addedIds, 5_000, 10_000) / meanOf(olderIds, 5_000, 10_000);
  expect(ratio).toBeGreaterThan(0.8);
  expect(ratio).toBeLessThan(1.25);
  expect(present.refused).toBeLessThanOrEqual(former.refused);
});

/** Guards against trust in reports that answers don't confirm. */
test.each([
  ['high', () => 750],
  ['low', () => 100],
  ['alternating', (at: number) => (Math.floor(at / 50) % 2 === 0 ? 10 : 800)],
])('reports of durations that are falsely %s keep no target from its requests', (_, report) => {
  const liar = (index: number): Partial<ReplayTarget> =>
    index === 0 ? { reportedPercentAt: report } : { reportedPercentAt: () => 100 };
  const { present } = compare(96, createTargets(12, liar), 0.5, { durationMilliseconds: 5_000 });
  expect(present.served.get('t0')).toBeGreaterThan((present.served.get('t3') ?? 0) * 0.8);
  expect(present.served.get('t0')).toBeLessThan((present.served.get('t3') ?? 0) * 1.25);
});

test('a report that falsely shows the usual duration does not hide a slow target', () => {
  const { former, present } = compare(
    96,
    createTargets(
      12,
      slowFirst(() => 100),
    ),
    0.3,
  );
  expect(present.p99Milliseconds).toBeLessThan(former.p99Milliseconds);
});

/** Guards against small installations paying for what large ones need. */
test.each([0.1, 0.5, 0.85])(
  '4 instances with 6 targets are as good as before at load %d',
  (load) => {
    const { former, present } = compare(4, createTargets(6), load);
    expect(present.meanMilliseconds).toBeLessThan(former.meanMilliseconds * 1.02);
    expect(present.p99Milliseconds).toBeLessThan(former.p99Milliseconds * 1.05);
    expect(present.refused).toBeLessThanOrEqual(former.refused * 1.1);
  },
);

test('4 instances with targets that slow down early are as good as before', () => {
  const { former, present } = compare(
    4,
    createTargets(6, () => ({ knee: 8 })),
    0.4,
  );
  expect(present.meanMilliseconds).toBeLessThan(former.meanMilliseconds * 1.02);
  expect(present.p99Milliseconds).toBeLessThan(former.p99Milliseconds * 1.05);
});

test('4 instances avoid a slow target sooner than before', () => {
  const { former, present } = compare(4, createTargets(6, slowFirst()), 0.5);
  expect(present.meanMilliseconds).toBeLessThan(former.meanMilliseconds);
});
