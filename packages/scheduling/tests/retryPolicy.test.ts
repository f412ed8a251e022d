import fc from 'fast-check';
import { RetryPolicy } from '../src/retryPolicy';
import { configuration, scheduledCall, settings } from './fixtures';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const policy = (retryRatio: number, retryBurst = 10): RetryPolicy => {
  const retries = new RetryPolicy(settings({ retryBurst }));
  retries.setRoutes(configuration({ route: { retryRatio, deadlineSeconds: 30 } }).routes);
  return retries;
};

test('retries stay within the ratio and the burst', () => {
  fc.assert(
    fc.property(
      fc.array(fc.boolean(), { maxLength: 400 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.integer({ min: 0, max: 20 }),
      (failures, ratio, burst) => {
        const retries = policy(ratio, burst);
        let sent = 0;
        failures.forEach((isFailure) => {
          const call = scheduledCall();
          retries.startAttempt(call);
          retries.endAttempt(call.callId, isFailure ? 'broken' : 'answered');
          if (isFailure && retries.mayRetry(call, 1)) sent += 1;
        });
        return sent <= burst + ratio * failures.length;
      },
    ),
    { seed: 6, numRuns: 100 },
  );
});

test.each([
  ['broken', false],
  ['refused', true],
  ['not-sent', true],
] as const)('a call that is not idempotent after %s: %s', (outcome, allowed) => {
  const retries = policy(1);
  const call = scheduledCall({ idempotent: false });
  retries.startAttempt(call);
  retries.endAttempt(call.callId, outcome);
  expect(retries.mayRetry(call, 1)).toBe(allowed);
});

test('no retry after the deadline or the last attempt', () => {
  const retries = policy(1);
  const call = scheduledCall();
  retries.startAttempt(call);
  expect(retries.mayRetry(call, 4)).toBe(false);
  retries.startAttempt(call);
  jest.advanceTimersByTime(30_000);
  expect(retries.mayRetry(call, 1)).toBe(false);
});
