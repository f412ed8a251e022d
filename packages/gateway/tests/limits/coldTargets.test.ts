import type { ColdChange } from '../../src/limits/coldTargets';
import { ColdTargets } from '../../src/limits/coldTargets';
import { fleetTarget } from '../support/fleetTarget';

const START = 1_000_000;

const SERVICE = {
  name: 's',
  connectionLimit: 8,
  coldStart: { milliseconds: 3_000, requestsPerSecond: 26 },
};

let cold = new ColdTargets();
let changes: ColdChange[] = [];

const create = (): void => {
  cold = new ColdTargets();
  changes = [];
  cold.onChange((change) => changes.push(change));
  cold.configure([SERVICE]);
};

beforeEach(() => {
  jest.useFakeTimers({ now: START });
  create();
});

afterEach(() => {
  jest.useRealTimers();
});

const target = (change: Parameters<typeof fleetTarget>[0] = {}) =>
  fleetTarget({ id: 't', bornMilliseconds: START, ...change });

const remaining = (): number => {
  const until = cold.get('t')?.untilMilliseconds;
  return until === undefined ? 0 : until - performance.now();
};

const pass = (milliseconds: number): void => {
  jest.advanceTimersByTime(milliseconds);
};

test('a target is cold for the announced time after its announcement was read', () => {
  cold.observe(target({ coldRemainingMilliseconds: 1_200 }), 5, false);
  expect(cold.get('t')).toMatchObject({ requestsPerSecond: 26 });
  pass(1_199);
  expect(remaining()).toBe(1);
  pass(1);
  expect([remaining(), cold.isAny, cold.all.size]).toEqual([0, false, 0]);
});

test('a target that announces no time is cold from its start', () => {
  cold.observe(target(), 5, false);
  expect(remaining()).toBe(3_000);
  expect(changes).toEqual([expect.objectContaining({ targetId: 't', cause: 'started' })]);
});

test('a target that announces that it is not cold is not', () => {
  cold.observe(target({ coldRemainingMilliseconds: 0 }), 5, false);
  expect(cold.get('t')).toBeUndefined();
});

test('a target may become cold again, and for longer, but not for less', () => {
  cold.observe(target({ coldRemainingMilliseconds: 0 }), 5, false);
  cold.observe(target({ coldRemainingMilliseconds: 2_000 }), 6, false);
  expect(remaining()).toBe(2_000);
  cold.observe(target({ coldRemainingMilliseconds: 2_500 }), 7, false);
  expect(remaining()).toBe(2_500);
  cold.observe(target({ coldRemainingMilliseconds: 100 }), 8, false);
  cold.observe(target(), 9, false);
  expect(remaining()).toBe(2_500);
});

// A new listing repeats announcements of any age.
test('an announcement that is listed again does not start its time anew', () => {
  cold.observe(target({ coldRemainingMilliseconds: 2_000 }), 5, false);
  pass(2_500);
  cold.observe(target({ coldRemainingMilliseconds: 2_000 }), 5, false);
  expect(cold.get('t')).toBeUndefined();
});

test('a target that restarts is cold anew', () => {
  cold.observe(target(), 5, false);
  pass(10_000);
  cold.observe(target({ bornMilliseconds: START + 9_900 }), 6, false);
  expect(remaining()).toBe(3_000);
});

// After an outage of the store, sound targets announce themselves again.
test('an incarnation that is announced again after its removal is not cold', () => {
  cold.observe(target(), 5, false);
  pass(10_000);
  cold.remove('t');
  cold.observe(target(), 9, false);
  expect(cold.get('t')).toBeUndefined();
});

test('without a start time, a target that is announced again counts as restarted', () => {
  cold.observe(target({ bornMilliseconds: undefined }), 5, false);
  pass(10_000);
  cold.remove('t');
  cold.observe(target({ bornMilliseconds: undefined }), 9, false);
  expect(remaining()).toBe(3_000);
});

// A restarted instance knows no target, and most of them are warm.
test('at the start of an instance, only targets that started a moment ago are cold', () => {
  pass(1_000);
  cold.observe(target(), 5, true);
  expect(remaining()).toBe(2_000);
  create();
  cold.observe(target({ bornMilliseconds: START - 60_000 }), 5, true);
  cold.observe(target({ id: 'other', bornMilliseconds: undefined }), 5, true);
  expect(cold.isAny).toBe(false);
});

test('a service without a rate has no cold targets', () => {
  cold.configure([{ name: 's', connectionLimit: 8 }]);
  cold.observe(target({ coldRemainingMilliseconds: 2_000 }), 5, false);
  expect(cold.isAny).toBe(false);
});

test('announcements that were read before the configuration count', () => {
  cold = new ColdTargets();
  cold.observe(target({ coldRemainingMilliseconds: 2_000 }), 5, true);
  pass(500);
  cold.configure([SERVICE]);
  expect(remaining()).toBe(1_500);
});

test('what another instance has read counts until the store has responded', () => {
  cold.observe(target({ coldRemainingMilliseconds: 0 }), 5, false);
  const report = { untilMilliseconds: performance.now() + 2_000, requestsPerSecond: 20 };
  cold.report('t', report);
  expect(cold.get('t')).toEqual({ ...report, requestsPerSecond: 26 });
  // What the other instance has read may still be on its way to this one.
  cold.confirm();
  expect(cold.get('t')).toBeDefined();
  pass(500);
  cold.confirm();
  expect(cold.get('t')).toBeUndefined();
});

test('the store does not shorten what was read here', () => {
  cold.observe(target({ coldRemainingMilliseconds: 1_000 }), 5, false);
  cold.report('t', { untilMilliseconds: performance.now() + 9_000, requestsPerSecond: 20 });
  expect(remaining()).toBe(9_000);
  pass(600);
  cold.confirm();
  expect(remaining()).toBe(400);
});

test('a target that refuses connections is taken for one that starts again', () => {
  cold.observe(target({ coldRemainingMilliseconds: 0 }), 5, false);
  cold.suspectRestart(target());
  expect(remaining()).toBe(5_000);
  pass(1_000);
  cold.suspectRestart(target());
  expect(remaining()).toBe(5_000);
  expect(changes.map(({ cause }) => cause)).toEqual(['refused', 'refused']);
  pass(500);
  cold.confirm();
  expect(cold.isAny && cold.get('t')).toBeUndefined();
});

test('each time of a target is told once', () => {
  cold.observe(target({ coldRemainingMilliseconds: 1_000 }), 5, false);
  cold.observe(target({ coldRemainingMilliseconds: 1_000 }), 5, false);
  cold.report('t', { untilMilliseconds: performance.now() + 900, requestsPerSecond: 20 });
  cold.report('t', { untilMilliseconds: performance.now() + 1_600, requestsPerSecond: 20 });
  expect(changes.map(({ cause }) => cause)).toEqual(['announced', 'peer']);
});
