import fc from 'fast-check';
import { SharedRate } from '../../src/shared/sharedRate';

const RATE = { perSecond: 40, burst: 40 };

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test('parts that exchange tokens never exceed rate and burst', () => {
  const step = fc.record({
    instance: fc.integer({ min: 0, max: 3 }),
    peer: fc.integer({ min: 0, max: 3 }),
    requests: fc.integer({ min: 0, max: 30 }),
    pauseMilliseconds: fc.integer({ min: 0, max: 400 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const parts = [0, 1, 2, 3].map(() => new SharedRate({ ...RATE, share: 0.25 }));
      let taken = 0;
      let elapsedSeconds = 0;
      steps.forEach(({ instance, peer, requests, pauseMilliseconds }) => {
        jest.advanceTimersByTime(pauseMilliseconds);
        elapsedSeconds += pauseMilliseconds / 1_000;
        const part = parts[instance]!;
        if (peer !== instance) part.receive(parts[peer]!.give(part.wanted));
        for (let request = 0; request < requests; request += 1) taken += part.take() ? 1 : 0;
        expect(taken).toBeLessThanOrEqual(RATE.burst + RATE.perSecond * elapsedSeconds + 1e-6);
      });
    }),
  );
});

test('a restart does not fill the bucket', () => {
  const rate = new SharedRate({ ...RATE, share: 0.25 });
  expect(rate.tokens).toBeLessThanOrEqual((RATE.burst * 0.25) / 2);
});

test('no part of a rate grants nothing', () => {
  const rate = new SharedRate({ ...RATE, share: 0 });
  jest.advanceTimersByTime(10_000);
  expect(rate.take()).toBe(false);
});

test('programs under way keep the tokens of a flow that they use', () => {
  const rate = new SharedRate({ ...RATE, share: 1 });
  jest.advanceTimersByTime(2_000);
  expect(rate.hasRoomForProgram).toBe(true);
  // 50 requests a second of programs that have begun, at a limit of 40.
  for (let round = 0; round < 75; round += 1) {
    jest.advanceTimersByTime(20);
    rate.take();
  }
  expect(rate.take()).toBe(true);
  expect(rate.hasRoomForProgram).toBe(false);
});
