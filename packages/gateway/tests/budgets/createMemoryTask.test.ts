import { createMemoryTask } from '../../src/budgets/createMemoryTask';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const start = (responses: readonly boolean[]) => {
  const requestTimes: number[] = [];
  const learnBegun = async (): Promise<boolean> => {
    requestTimes.push(performance.now());
    return responses[requestTimes.length - 1] ?? false;
  };
  const controller = new AbortController();
  const { signal } = controller;
  void createMemoryTask({ restoreMemory: learnBegun }).run({
    signal,
    ready: () => undefined,
  });
  return { asked: requestTimes, controller };
};

test('callers that waited for the start are served before the store is queried', async () => {
  const { asked } = start([true]);
  await jest.advanceTimersByTimeAsync(2_000);
  expect(asked).toHaveLength(0);
  await jest.advanceTimersByTimeAsync(2_000);
  expect(asked).toHaveLength(1);
});

test('the store is queried until it responds', async () => {
  const { asked } = start([false, false, true]);
  await jest.advanceTimersByTimeAsync(20_000);
  expect(asked).toHaveLength(3);
});

test('a stop ends the queries', async () => {
  const { asked, controller } = start([]);
  await jest.advanceTimersByTimeAsync(4_000);
  controller.abort();
  const before = asked.length;
  await jest.advanceTimersByTimeAsync(10_000);
  expect(asked.length).toBe(before);
});
