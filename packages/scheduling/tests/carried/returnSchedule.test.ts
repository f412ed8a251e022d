import { ReturnSchedule } from '../../src/carried/returnSchedule';

const situation = {
  nowMilliseconds: 0,
  requestsPerSecond: 10,
  waitingRequests: 0,
  longestMilliseconds: 1_000,
};

// Load pattern: many callers are refused in the same moment.
test('callers refused in a burst return at the rate that can be served', () => {
  const schedule = new ReturnSchedule(() => 0);
  const delays = Array.from({ length: 5 }, () => schedule.next(situation));
  expect(delays).toEqual([100, 200, 300, 400, 500]);
});

test('callers that find no place return over the last half of their time', () => {
  const randoms = [0, 0.5, 1];
  const schedule = new ReturnSchedule(() => randoms.shift() ?? 0);
  const delays = [0, 1, 2].map(() => schedule.next({ ...situation, requestsPerSecond: 0.1 }));
  expect(delays).toEqual([100, 1_000, 750]);
});

test('waiting requests go before those that return', () => {
  const schedule = new ReturnSchedule(() => 0);
  expect(schedule.next({ ...situation, waitingRequests: 4 })).toBe(400);
});

test('a caller with little time left returns after the shortest delay', () => {
  const schedule = new ReturnSchedule(() => 0);
  expect(schedule.next({ ...situation, longestMilliseconds: 3 })).toBe(100);
});

test('callers return although nothing can be served now', () => {
  const schedule = new ReturnSchedule(() => 0);
  expect(schedule.next({ ...situation, requestsPerSecond: 0 })).toBe(1_000);
  expect(schedule.next(situation)).toBe(100);
});
