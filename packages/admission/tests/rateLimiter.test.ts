import fc from 'fast-check';
import type { LinkConditions } from './simulatedFleet';
import { SimulatedFleet } from './simulatedFleet';

beforeEach(() => {
  jest.useFakeTimers({ now: 1_000_000 });
});

afterEach(() => {
  jest.useRealTimers();
});

const waitUntilFull = async (fleet: SimulatedFleet): Promise<SimulatedFleet> => {
  await jest.advanceTimersByTimeAsync((1_000 * fleet.rate.burst) / fleet.rate.requestsPerSecond);
  return fleet;
};

const sendRequests = async (fleet: SimulatedFleet, count: number, gap: number, entries = 1) => {
  for (let sent = 0; sent < count; sent += 1) {
    fleet.request(sent % entries);
    await jest.advanceTimersByTimeAsync(gap);
  }
};

test.each([1, 4])('a full burst is admitted immediately through %d entries', async (entries) => {
  const fleet = await waitUntilFull(new SimulatedFleet({ requestsPerSecond: 10, burst: 50 }, 4));
  await sendRequests(fleet, 50, 0, entries);
  await jest.advanceTimersByTimeAsync(50);
  expect(fleet.admitted).toHaveLength(50);
  await fleet.stop();
});

test.each([
  [1, 100, 100, 10],
  [4, 100, 100, 10],
  [4, 10, 2, 100],
  [4, 400, 32, 2.5],
])('%d entries admit %d requests/s with a burst of %d', async (entries, rate, burst, gap) => {
  const fleet = await waitUntilFull(
    new SimulatedFleet({ requestsPerSecond: rate, burst }, entries),
  );
  await sendRequests(fleet, 3_000 / gap, gap, entries);
  await jest.advanceTimersByTimeAsync(500);
  expect(fleet.rejected).toEqual([]);
  expect(fleet.admitted).toHaveLength(3_000 / gap);
  expect(fleet.computeExcess()).toBeLessThan(1e-6);
  await fleet.stop();
});

test('eight times the rate is admitted at the rate, the rest gets a valid retry time', async () => {
  const fleet = await waitUntilFull(new SimulatedFleet({ requestsPerSecond: 20, burst: 20 }, 4));
  await sendRequests(fleet, 1_600, 6.25, 4);
  await jest.advanceTimersByTimeAsync(10);
  expect(fleet.computeExcess()).toBeLessThan(1e-6);
  expect(fleet.admitted.length).toBeGreaterThan(0.9 * (20 * 10 + 20));
  const last = fleet.rejected.at(-1)!;
  await jest.advanceTimersByTimeAsync(last.retryAfterMilliseconds);
  const before = fleet.admitted.length;
  fleet.request(0);
  await jest.advanceTimersByTimeAsync(450);
  expect(fleet.admitted.length).toBeGreaterThan(before);
  await fleet.stop();
});

test('a request that must wait too long is rejected immediately', async () => {
  const fleet = await waitUntilFull(new SimulatedFleet({ requestsPerSecond: 0.5, burst: 2 }, 1));
  await sendRequests(fleet, 3, 0);
  await jest.advanceTimersByTimeAsync(30);
  expect(fleet.admitted).toHaveLength(2);
  expect(fleet.rejected).toHaveLength(1);
  const { retryAfterMilliseconds } = fleet.rejected[0]!;
  await jest.advanceTimersByTimeAsync(retryAfterMilliseconds);
  await sendRequests(fleet, 1, 10);
  expect(fleet.admitted).toHaveLength(3);
  await fleet.stop();
});

test('a takeover of the rate causes no rejections', async () => {
  const fleet = await waitUntilFull(new SimulatedFleet({ requestsPerSecond: 20, burst: 40 }, 4));
  await sendRequests(fleet, 20, 100, 4);
  fleet.replaceOwner(Date.now() + 2_000);
  await sendRequests(fleet, 100, 100, 4);
  await jest.advanceTimersByTimeAsync(500);
  expect(fleet.rejected).toEqual([]);
  expect(fleet.admitted).toHaveLength(120);
  expect(fleet.computeExcess()).toBeLessThan(1e-6);
  await fleet.stop();
});

const step = fc.oneof(
  {
    weight: 30,
    arbitrary: fc.record({ kind: fc.constant('send'), at: fc.nat(3), count: fc.nat(9) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('takeover'), at: fc.nat(900), count: fc.nat(3_000) }),
  },
);

test('no window exceeds rate times window plus burst, whatever fails', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        requestsPerSecond: fc.constantFrom(1, 7, 50, 300),
        burst: fc.integer({ min: 1, max: 60 }),
      }),
      fc.array(fc.tuple(step, fc.nat(60)), { minLength: 40, maxLength: 120 }),
      fc.infiniteStream(
        fc.record({
          out: fc.oneof(fc.nat(5), fc.nat(700)),
          back: fc.oneof(fc.nat(5), fc.nat(700)),
          isLost: fc.oneof(fc.constant(false), fc.boolean()),
        }),
      ),
      async (rate, steps, conditions) => {
        const fleet = new SimulatedFleet(rate, 4);
        fleet.nextConditions = () => conditions.next().value as LinkConditions;
        let until = Number.MAX_VALUE;
        for (const [{ kind, at, count }, gap] of steps) {
          if (kind === 'send') {
            for (let sent = 0; sent < count; sent += 1) fleet.request(at);
          } else {
            until = Date.now() + at;
            fleet.replaceOwner(until);
          }
          await jest.advanceTimersByTimeAsync(gap);
        }
        await jest.advanceTimersByTimeAsync(12_000);
        expect(fleet.computeExcess()).toBeLessThan(1e-6);
        expect(fleet.metrics.counter('rates.unsound-buckets')).toBe(0);
        await fleet.stop();
      },
    ),
    { seed: 5, numRuns: 60 },
  );
}, 60_000);
