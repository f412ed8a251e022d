import { settleWithin } from '../src/settleWithin';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('an operation in time resolves to its own value and leaves no timer', async () => {
  await expect(settleWithin(Promise.resolve('done'), 100, () => 'late')).resolves.toBe('done');
  expect(jest.getTimerCount()).toBe(0);
});

test('an operation that takes longer resolves to the timeout value', async () => {
  const settled = settleWithin(new Promise<string>(() => {}), 100, () => 'late');
  await jest.advanceTimersByTimeAsync(100);
  await expect(settled).resolves.toBe('late');
});

test('a rejection is passed on and leaves no timer', async () => {
  const failing = settleWithin(Promise.reject(new Error('broken')), 100, () => 'late');
  await expect(failing).rejects.toThrow('broken');
  expect(jest.getTimerCount()).toBe(0);
});
