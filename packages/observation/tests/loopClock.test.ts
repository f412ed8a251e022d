import { LoopClock } from '../src/loopClock';

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

test('without a freeze, the earliest arrival is at most some ticks ago', () => {
  const clock = new LoopClock();
  clock.start();
  jest.advanceTimersByTime(1_000);
  const age = performance.now() - clock.earliestArrivalMilliseconds;
  clock.stop();
  expect(age).toBeLessThanOrEqual(100);
});

// Responses that arrived before or during a freeze would prove the state of the present.
test('what is handled right after a freeze may be as old as the freeze', () => {
  const clock = new LoopClock();
  clock.start();
  jest.advanceTimersByTime(1_000);
  const beforeFreeze = performance.now();
  const now = jest.spyOn(performance, 'now').mockReturnValue(beforeFreeze + 5_000);
  jest.advanceTimersByTime(51);
  expect(clock.earliestArrivalMilliseconds).toBeLessThanOrEqual(beforeFreeze);
  now.mockReturnValue(beforeFreeze + 5_200);
  jest.advanceTimersByTime(151);
  expect(clock.earliestArrivalMilliseconds).toBeGreaterThanOrEqual(beforeFreeze + 5_000);
  now.mockRestore();
  clock.stop();
});

test('a clock that does not run says the present', () => {
  expect(new LoopClock().earliestArrivalMilliseconds).toBeCloseTo(performance.now(), 0);
});
