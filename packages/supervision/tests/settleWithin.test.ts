import { settleWithin } from '../src/settleWithin';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('an operation in time gives its own value and leaves no timer', async () => {
  await expect(settleWithin(Promise.resolve('done'), 100, () => 'late')).resolves.toBe('done');
  expect(jest.getTimerCount()).toBe(0);
});

test('an operation that takes longer is given up', async () => {
  const settled = settleWithin(new Promise<string>(() => {}), 100, () => 'late');
  await jest.advanceTimersByTimeAsync(100);
  await expect(settled).resolves.toBe('late');
});

test('a failure passes through and leaves no timer', async () => {
  const failing = settleWithin(Promise.reject(new Error('broken')), 100, () => 'late');
  await expect(failing).rejects.toThrow('broken');
  expect(jest.getTimerCount()).toBe(0);
});
