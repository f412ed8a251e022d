import type { DrainState } from '../../src/shutdown/drainState';
import { mayTakeRequest } from '../../src/shutdown/mayTakeRequest';

const TIMES = {
  graceMilliseconds: 8_000,
  readinessLagMilliseconds: 2_500,
  answerReserveMilliseconds: 1_000,
  exitReserveMilliseconds: 700,
};

const DRAINING: DrainState = { kind: 'draining', sinceMilliseconds: 10_000 };

const mayTake = (state: DrainState, sinceStop: number, remainingMilliseconds: number): boolean =>
  mayTakeRequest(state, TIMES, { nowMilliseconds: 10_000 + sinceStop, remainingMilliseconds });

test('an instance that serves takes every request', () => {
  expect(mayTake({ kind: 'serving' }, 0, Infinity)).toBe(true);
});

test('a draining instance takes a request that fits before the last answers', () => {
  expect(mayTake(DRAINING, 3_000, 4_000)).toBe(true);
  expect(mayTake(DRAINING, 6_500, 500)).toBe(true);
});

test('a draining instance refuses a request that may outlast its grace period', () => {
  expect(mayTake(DRAINING, 3_001, 4_000)).toBe(false);
  expect(mayTake(DRAINING, 0, 60_000)).toBe(false);
  expect(mayTake(DRAINING, 7_500, 0)).toBe(false);
});

test('a closed instance takes no request', () => {
  expect(mayTake({ kind: 'closed', sinceMilliseconds: 10_000 }, 100, 0)).toBe(false);
});
