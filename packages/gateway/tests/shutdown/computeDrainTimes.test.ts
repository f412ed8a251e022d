import { computeDrainTimes } from '../../src/shutdown/computeDrainTimes';

test.each([1_000, 3_000, 5_000, 8_000, 30_000])(
  'responses are sent into the last sixth of a grace period of %s ms',
  (graceMilliseconds) => {
    const { answerReserveMilliseconds, exitReserveMilliseconds } =
      computeDrainTimes(graceMilliseconds);
    expect(answerReserveMilliseconds).toBeLessThan(graceMilliseconds / 6);
    expect(exitReserveMilliseconds).toBeLessThan(answerReserveMilliseconds);
    expect(exitReserveMilliseconds).toBeGreaterThan(0);
  },
);

test('a long grace period reserves one second', () => {
  expect(computeDrainTimes(30_000)).toMatchObject({
    answerReserveMilliseconds: 1_000,
    exitReserveMilliseconds: 700,
  });
});
