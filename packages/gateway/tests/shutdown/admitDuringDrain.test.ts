import type { DrainState } from '../../src/shutdown/drainState';
import { admitDuringDrain } from '../../src/shutdown/admitDuringDrain';
import type { DrainAdmission } from '../../src/shutdown/admitDuringDrain';

const TIMES = {
  graceMilliseconds: 8_000,
  readinessLagMilliseconds: 2_500,
  answerReserveMilliseconds: 1_000,
  exitReserveMilliseconds: 700,
};

const DRAINING: DrainState = { kind: 'draining', sinceMilliseconds: 10_000 };

const admit = (
  state: DrainState,
  sinceStop: number,
  remainingMilliseconds: number,
): DrainAdmission =>
  admitDuringDrain(state, TIMES, { nowMilliseconds: 10_000 + sinceStop, remainingMilliseconds });

test('a serving instance accepts every request', () => {
  expect(admit({ kind: 'serving' }, 0, Infinity)).toEqual({ kind: 'taken' });
});

test('a draining instance accepts a request that fits before the last responses', () => {
  expect(admit(DRAINING, 3_000, 4_000)).toEqual({ kind: 'taken' });
  expect(admit(DRAINING, 6_500, 500)).toEqual({ kind: 'taken' });
});

test('a draining instance refuses a request that may outlast its grace period', () => {
  expect(admit(DRAINING, 3_001, 4_000)).toMatchObject({ kind: 'refused' });
  expect(admit(DRAINING, 0, 60_000)).toMatchObject({ kind: 'refused' });
  expect(admit(DRAINING, 7_500, 0)).toMatchObject({ kind: 'refused' });
});

test('callers retry on another instance immediately while the load balancer still sends here', () => {
  expect(admit(DRAINING, 2_000, 60_000)).toEqual({ kind: 'refused', retryAfterSeconds: 0 });
  expect(admit(DRAINING, 3_500, 4_000)).toEqual({ kind: 'refused', retryAfterSeconds: 0.5 });
});

test('a closed instance accepts no request', () => {
  expect(admit({ kind: 'closed', sinceMilliseconds: 10_000 }, 100, 0)).toMatchObject({
    kind: 'refused',
  });
});
