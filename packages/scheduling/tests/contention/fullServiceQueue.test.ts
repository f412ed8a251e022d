import { FullServiceQueue } from '../../src/contention/fullServiceQueue';
import type { RefusedRequest } from '../../src/contention/fullServiceQueue';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const createRequest = (change: Partial<RefusedRequest> = {}): RefusedRequest => ({
  isUnderWay: true,
  priority: 1,
  finishAtMilliseconds: performance.now() + 2_000,
  waitUntilMilliseconds: performance.now() + 1_000,
  arrivedAtMilliseconds: performance.now(),
  organisationShare: 0,
  bytes: 100,
  ...change,
});

const createQueue = (requests = 10, bytes = 1_000) => new FullServiceQueue({ requests, bytes });

test('a request that starts a program does not wait', () => {
  const request = createRequest({ isUnderWay: false });
  expect(createQueue().add(request)).toEqual([request]);
});

test('the first to try has the highest rank, then the least time to its end', () => {
  const queue = createQueue();
  const later = createRequest({ finishAtMilliseconds: performance.now() + 3_000 });
  const sooner = createRequest();
  const ranked = createRequest({ priority: 0, finishAtMilliseconds: performance.now() + 9_000 });
  [later, sooner, ranked].forEach((request) => queue.add(request));
  expect([queue.takeFirst(), queue.takeFirst(), queue.takeFirst()]).toEqual([
    ranked,
    sooner,
    later,
  ]);
});

/** Guards against bodies of waiting requests filling the memory. */
test('a request beyond the bounds is refused, and room is free again after one left', () => {
  const queue = createQueue(2, 1_000);
  const large = createRequest({ bytes: 900 });
  expect(queue.add(large)).toEqual([]);
  const other = createRequest({ bytes: 200 });
  expect(queue.add(other)).toEqual([other]);
  queue.remove(other);
  expect(queue.size).toBe(1);
  queue.remove(large);
  queue.remove(large);
  expect(queue.add(other)).toEqual([]);
  expect(queue.add(createRequest({ bytes: 800 }))).toEqual([]);
  expect(queue.add(createRequest({ bytes: 0 }))).toHaveLength(1);
});

test('a request that cannot expect a slot in time is refused immediately', () => {
  const queue = createQueue();
  expect(queue.add(createRequest({ waitUntilMilliseconds: performance.now() + 50 }))).toHaveLength(
    1,
  );
});

test('requests are refused once they can no longer expect a slot in time', () => {
  const queue = createQueue();
  const request = createRequest({ waitUntilMilliseconds: performance.now() + 300 });
  expect(queue.add(request)).toEqual([]);
  jest.advanceTimersByTime(250);
  expect(queue.removeLate()).toEqual([request]);
  expect(queue.size).toBe(0);
});

test('refused callers return at the rate at which slots become free', () => {
  const queue = createQueue();
  for (let ended = 0; ended < 40; ended += 1) queue.recordEnd();
  const [first, second, third] = [1, 2, 3].map(() => queue.computeReturn(5_000));
  expect((second ?? 0) - (first ?? 0)).toBeCloseTo(50);
  expect((third ?? 0) - (second ?? 0)).toBeCloseTo(50);
});
