import { StallClock } from '../../src/util/stallClock';

let clock: StallClock;
let stopping: AbortController;
let skippedMilliseconds: number;

beforeEach(() => {
  jest.useFakeTimers();
  skippedMilliseconds = 0;
  const { now } = performance;
  jest
    .spyOn(performance, 'now')
    .mockImplementation(() => now.call(performance) + skippedMilliseconds);
  clock = new StallClock();
  stopping = new AbortController();
  void clock.task.run({ signal: stopping.signal, ready: () => undefined });
});

afterEach(() => {
  stopping.abort();
  jest.restoreAllMocks();
  jest.useRealTimers();
});

test('a process that runs has no stall', async () => {
  await jest.advanceTimersByTimeAsync(5_000);
  expect(clock.stalledUntilMilliseconds).toBe(-Infinity);
});

// What arrives while a process is suspended is handled before its timers.
test('a stall is known before the next tick, and stays known', async () => {
  await jest.advanceTimersByTimeAsync(1_000);
  skippedMilliseconds = 3_000;
  const endedAt = performance.now();
  expect(clock.stalledUntilMilliseconds).toBe(endedAt);
  await jest.advanceTimersByTimeAsync(1_000);
  expect(clock.stalledUntilMilliseconds).toBeGreaterThanOrEqual(endedAt);
  expect(clock.stalledUntilMilliseconds).toBeLessThan(endedAt + 200);
});
