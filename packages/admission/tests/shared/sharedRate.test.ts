import fc from 'fast-check';
import { SharedRate } from '../../src/shared/sharedRate';

const RATE = { perSecond: 40, burst: 40, windowSeconds: 5 };
const WINDOW_MILLISECONDS = 5_000;
const WINDOW_TOKENS = 240;
const DEPTH = 40;

const createPart = (rank: number, holders: number): SharedRate =>
  new SharedRate({ ...RATE, rank, holders });

const acquireAll = (rate: SharedRate): number => {
  let acquired = 0;
  while (rate.tryAcquire()) acquired += 1;
  return acquired;
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const stepArbitrary = fc.record({
  instance: fc.integer({ min: 0, max: 3 }),
  peer: fc.integer({ min: 0, max: 3 }),
  wanted: fc.integer({ min: 1, max: 30 }),
  requests: fc.integer({ min: 0, max: 60 }),
  pauseMilliseconds: fc.integer({ min: 0, max: 1_500 }),
});

test('parts that exchange tokens never exceed the rate in any window', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
      const parts = [0, 1, 2, 3].map((rank) => createPart(rank, 4));
      const takenAt: number[] = [];
      steps.forEach(({ instance, peer, wanted, requests, pauseMilliseconds }) => {
        jest.advanceTimersByTime(pauseMilliseconds);
        const part = parts[instance]!;
        if (peer !== instance) part.receive(parts[peer]!.give(wanted));
        const now = performance.now();
        for (let request = 0; request < requests; request += 1) {
          if (part.tryAcquire()) takenAt.push(now);
        }
        const inWindow = takenAt.filter((time) => time > now - WINDOW_MILLISECONDS);
        expect(inWindow.length).toBeLessThanOrEqual(WINDOW_TOKENS);
      });
    }),
  );
});

/** The users' largest organisation, and the excess in a window that they tolerate. */
const LARGE_RATE = { perSecond: 228, burst: 228, windowSeconds: 5, rank: 0, holders: 1 };
const LARGE_WINDOW_TOKENS = 1_368;
const TOLERATED_FRACTION = 0.1;
const TOLERATED_REQUESTS = 20;

const RESTARTS: [number, number][] = [
  [607, 784],
  [7_303, 519],
  [5_957, 510],
  [270, 501],
];

/**
 * Returns the maximum requests in any window if all instances of an organisation restart under
 * overload.
 */
const measureWorstWindow = (busyMilliseconds: number, downMilliseconds: number): number => {
  const takenAt: number[] = [];
  const sendFor = (rate: SharedRate, milliseconds: number): void => {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
      jest.advanceTimersByTime(100);
      for (let request = 0; request < 200 && rate.tryAcquire(); request += 1) {
        takenAt.push(performance.now());
      }
    }
  };
  const before = new SharedRate(LARGE_RATE);
  jest.advanceTimersByTime(2 * WINDOW_MILLISECONDS);
  sendFor(before, busyMilliseconds);
  jest.advanceTimersByTime(downMilliseconds);
  sendFor(new SharedRate(LARGE_RATE), WINDOW_MILLISECONDS);
  let first = 0;
  return takenAt.reduce((worst, time, last) => {
    while (takenAt[first]! <= time - WINDOW_MILLISECONDS) first += 1;
    return Math.max(worst, last - first + 1);
  }, 0);
};

test('a restart at any time stays within the tolerated excess', () => {
  const tolerated = LARGE_WINDOW_TOKENS * (1 + TOLERATED_FRACTION) + TOLERATED_REQUESTS;
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 8_000 }),
      fc.integer({ min: 500, max: 3_000 }),
      (busyMilliseconds, downMilliseconds) => {
        const worst = measureWorstWindow(busyMilliseconds, downMilliseconds);
        expect(worst).toBeLessThanOrEqual(tolerated);
      },
    ),
    { numRuns: 10, examples: RESTARTS },
  );
});

test('a started instance serves the callers that waited during the restart', () => {
  const rate = createPart(0, 4);
  expect(acquireAll(rate)).toBeGreaterThanOrEqual(2);
});

test('a part that is applied after the start does not grant a full window', () => {
  const rate = createPart(0, 0);
  jest.advanceTimersByTime(3_000);
  rate.setPart({ ...RATE, rank: 0, holders: 1 });
  let taken = 0;
  for (let elapsed = 0; elapsed < 2_500; elapsed += 100) {
    taken += acquireAll(rate);
    jest.advanceTimersByTime(100);
  }
  expect(taken).toBeLessThanOrEqual((WINDOW_TOKENS * 3_000) / WINDOW_MILLISECONDS);
});

test('a spent token is free again one window later', () => {
  const rate = createPart(0, 1);
  jest.advanceTimersByTime(2 * WINDOW_MILLISECONDS);
  let taken = 0;
  for (let elapsed = 0; elapsed < WINDOW_MILLISECONDS; elapsed += 100) {
    taken += acquireAll(rate);
    jest.advanceTimersByTime(100);
  }
  expect(taken).toBe(WINDOW_TOKENS);
  jest.advanceTimersByTime(100);
  expect(acquireAll(rate)).toBe(DEPTH);
});

test('small rates are split into whole tokens', () => {
  const rates = Array.from(
    { length: 28 },
    (_value, rank) =>
      new SharedRate({ perSecond: 2, burst: 2, windowSeconds: 5, rank, holders: 28 }),
  );
  jest.advanceTimersByTime(2 * WINDOW_MILLISECONDS);
  expect(rates.reduce((sum, rate) => sum + acquireAll(rate), 0)).toBe(12);
});

test('a request that did not run returns its token', () => {
  const rate = createPart(0, 1);
  jest.advanceTimersByTime(2 * WINDOW_MILLISECONDS);
  expect(acquireAll(rate)).toBe(DEPTH);
  rate.returnToken();
  expect(rate.tryAcquire()).toBe(true);
  expect(rate.tryAcquire()).toBe(false);
});

test('a transferred token expires unless it is spent', () => {
  const [giver, taker] = [createPart(0, 2), createPart(1, 2)];
  jest.advanceTimersByTime(2 * WINDOW_MILLISECONDS);
  acquireAll(taker);
  taker.receive(giver.give(5));
  jest.advanceTimersByTime(200);
  const own = taker.tokens;
  expect(acquireAll(taker)).toBe(Math.floor(own));
});

test('an instance without a part of the rate grants nothing', () => {
  const rate = createPart(0, 0);
  jest.advanceTimersByTime(10_000);
  expect(rate.tryAcquire()).toBe(false);
});

test('reports when the next tokens are free', () => {
  const rate = createPart(0, 1);
  jest.advanceTimersByTime(2 * WINDOW_MILLISECONDS);
  acquireAll(rate);
  const seconds = rate.secondsToTokens(10);
  expect(seconds).toBeGreaterThan(0);
  jest.advanceTimersByTime(seconds * 1_000 - 10);
  expect(rate.tokens).toBeLessThan(10);
  jest.advanceTimersByTime(20);
  expect(rate.tokens).toBeGreaterThanOrEqual(10);
});
