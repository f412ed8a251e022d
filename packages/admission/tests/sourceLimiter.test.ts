import { SourceLimiter } from '@limpetnotch/admission';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const rate = { requestsPerSecond: 2, burst: 3 };

test('each source and route has its own burst and rate', () => {
  const limiter = new SourceLimiter();
  const passes = (source: string, route = 'open'): number =>
    Array.from({ length: 5 }, () => limiter.acquire(route, source, rate)).filter((r) => r.isOk())
      .length;
  expect([passes('127.0.0.1'), passes('127.0.0.2'), passes('127.0.0.1', 'other')]).toEqual([
    3, 3, 3,
  ]);
  const error = limiter.acquire('open', '127.0.0.1', rate)._unsafeUnwrapErr();
  expect(error).toEqual({ kind: 'rate-exceeded', retryAfterMilliseconds: 500 });
  jest.advanceTimersByTime(500);
  expect(passes('127.0.0.1')).toBe(1);
});

test('a changed rate creates no tokens', () => {
  const limiter = new SourceLimiter();
  for (let count = 0; count < 3; count += 1) limiter.acquire('open', '::1', rate);
  expect(limiter.acquire('open', '::1', { requestsPerSecond: 9, burst: 99 }).isErr()).toBe(true);
});

test('memory is bounded, and idle sources are removed', () => {
  const limiter = new SourceLimiter({ maximumSources: 100 });
  for (let source = 0; source < 10_000; source += 1) limiter.acquire('open', `${source}`, rate);
  expect(limiter.size).toBeLessThanOrEqual(100);
  jest.advanceTimersByTime(10_000);
  for (let count = 0; count < 100; count += 1) limiter.acquire('open', 'last', rate);
  expect(limiter.size).toBe(1);
});
