import { TargetCapacities } from '../../src/capacity/targetCapacities';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const KEY = { incarnation: 't@1', slots: 16 };
const NO_REPORT = { durationPercent: undefined, reportAgeMilliseconds: Infinity };

const answer = (
  capacities: TargetCapacities,
  count: number,
  { running = 16, slowdown = 1, percent = undefined as number | undefined } = {},
): void => {
  for (let sent = 0; sent < count; sent += 1) {
    jest.advanceTimersByTime(110);
    capacities.observeAnswer(KEY, {
      view: {
        own: 1,
        others: running - 1,
        reportAgeMilliseconds: 0,
        durationPercent: percent,
      },
      milliseconds: 50 * slowdown,
      usualMilliseconds: 50,
    });
  }
};

const capacityOf = (capacities: TargetCapacities): number =>
  capacities.estimate(KEY, 1, NO_REPORT).capacity;

test('a target starts with its announced slots', () => {
  expect(capacityOf(new TargetCapacities())).toBe(16);
});

test('answers that are slow under load lower the capacity in bounded steps', () => {
  const capacities = new TargetCapacities();
  answer(capacities, 4, { slowdown: 3 });
  const first = capacityOf(capacities);
  expect(first).toBeLessThan(16);
  expect(first).toBeGreaterThan(10);
  answer(capacities, 40, { slowdown: 3 });
  expect(capacityOf(capacities)).toBeLessThan(8);
  expect(capacityOf(capacities)).toBeGreaterThanOrEqual(2);
});

test('slow answers of a target with little load say nothing about its capacity', () => {
  const capacities = new TargetCapacities();
  answer(capacities, 10, { slowdown: 3, running: 2 });
  expect(capacityOf(capacities)).toBe(16);
});

test('steps follow one another with a pause, however many answers arrive', () => {
  const capacities = new TargetCapacities();
  for (let sent = 0; sent < 100; sent += 1) capacities.observeRefusal(KEY, 16);
  expect(capacityOf(capacities)).toBeCloseTo(14.4);
});

test('a refusal far below the slots lowers the capacity by at most half', () => {
  const capacities = new TargetCapacities();
  capacities.observeRefusal(KEY, 0);
  expect(capacityOf(capacities)).toBe(8);
});

test('the capacity rises with quick answers, and without any over time', () => {
  const capacities = new TargetCapacities();
  answer(capacities, 20, { slowdown: 3 });
  const low = capacityOf(capacities);
  answer(capacities, 20, { slowdown: 1 });
  const higher = capacityOf(capacities);
  expect(higher).toBeGreaterThan(low);
  jest.advanceTimersByTime(60_000);
  expect(capacityOf(capacities)).toBeCloseTo(16, 1);
});

test('what was learned ends with the incarnation', () => {
  const capacities = new TargetCapacities();
  answer(capacities, 20, { slowdown: 3 });
  expect(capacities.estimate({ ...KEY, incarnation: 't@2' }, 1, NO_REPORT).capacity).toBe(16);
  capacities.retain((incarnation) => incarnation !== KEY.incarnation);
  expect(capacityOf(capacities)).toBe(16);
});

const REPORT = { durationPercent: 750, reportAgeMilliseconds: 0 };

test('a report counts once answers were as slow as it said', () => {
  const capacities = new TargetCapacities();
  expect(capacities.estimate(KEY, 1, REPORT).slowness).toBe(1);
  answer(capacities, 12, { slowdown: 7.5, percent: 750 });
  expect(capacities.estimate(KEY, 1, REPORT).slowness).toBeGreaterThan(5);
});

/** Guards against a false report hiding a slow target, and against one that keeps requests away. */
test.each([
  [1, 750],
  [7.5, 100],
])('a report that contradicts answers of slowdown %d is ignored', (slowdown, percent) => {
  const capacities = new TargetCapacities();
  answer(capacities, 12, { slowdown: 7.5, percent: 750 });
  answer(capacities, 12, { slowdown, percent });
  const report = { durationPercent: percent, reportAgeMilliseconds: 0 };
  expect(capacities.estimate(KEY, slowdown, report).slowness).toBeCloseTo(slowdown);
});

test('an old report is ignored', () => {
  const capacities = new TargetCapacities();
  answer(capacities, 12, { slowdown: 7.5, percent: 750 });
  const old = { durationPercent: 750, reportAgeMilliseconds: 2_000 };
  expect(capacities.estimate(KEY, 1, old).slowness).toBe(1);
});
