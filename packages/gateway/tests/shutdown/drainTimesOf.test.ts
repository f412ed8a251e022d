import { drainTimesOf } from '../../src/shutdown/drainTimesOf';

test.each([1_000, 3_000, 5_000, 8_000, 30_000])(
  'answers of a grace period of %s ms go on into its last sixth',
  (graceMilliseconds) => {
    const { answerReserveMilliseconds, exitReserveMilliseconds } = drainTimesOf(graceMilliseconds);
    expect(answerReserveMilliseconds).toBeLessThan(graceMilliseconds / 6);
    expect(exitReserveMilliseconds).toBeLessThan(answerReserveMilliseconds);
    expect(exitReserveMilliseconds).toBeGreaterThan(0);
  },
);

test('a long grace period keeps a second back', () => {
  expect(drainTimesOf(30_000)).toMatchObject({
    answerReserveMilliseconds: 1_000,
    exitReserveMilliseconds: 700,
  });
});
