import { SeededRandom } from '@limpetnotch/stand-ins';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import { ProgramCallers } from './programCallers';
import { QuotaFleet } from './quotaFleet';

const WINDOW_SECONDS = 5;
const SIMULATED_MILLISECONDS = 30_000;
const SEEDS = [1, 2, 3, 4];

/** Requests per second that the rate sustains: 30 flow in, plus a burst of 30 in each window. */
const SUSTAINED_PER_SECOND = 36;

const organisation: FleetOrganisation = {
  name: 'amman',
  keys: ['key'],
  priority: 0,
  rate: { perSecond: 30, burst: 30 },
};

/**
 * Returns the requests of programs that ended on time as a share of the requests demanded or, if
 * fewer, allowed.
 */
const simulateSeed = async (
  demandPerSecond: number,
  seed: number,
  marksFirstRequests: boolean,
): Promise<number> => {
  const fleet = new QuotaFleet(4, organisation, WINDOW_SECONDS);
  const random = new SeededRandom(seed);
  const callers = new ProgramCallers({
    fleet,
    organisation,
    random,
    marksFirstRequests,
  });
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  const simulation = callers.run(demandPerSecond, SIMULATED_MILLISECONDS);
  await jest.advanceTimersByTimeAsync(SIMULATED_MILLISECONDS + 30_000);
  await simulation;
  const sum = (ends: typeof callers.ends): number => ends.reduce((all, { size }) => all + size, 0);
  const onTime = callers.ends.filter(({ result }) => result === 'on-time');
  const allowed = (SUSTAINED_PER_SECOND * SIMULATED_MILLISECONDS) / 1_000;
  return sum(onTime) / Math.min(sum(callers.ends), allowed);
};

const simulate = async (demandPerSecond: number, marksFirstRequests = true): Promise<number> => {
  let total = 0;
  for (const seed of SEEDS) total += await simulateSeed(demandPerSecond, seed, marksFirstRequests);
  return total / SEEDS.length;
};

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('programs well within the rate end on time, however uneven the load balancer', async () => {
  expect(await simulate(15)).toBeGreaterThan(0.95);
});

test('programs that need twice the rate mostly spend it on programs that end on time', async () => {
  const counted = await simulate(72);
  expect(counted).toBeGreaterThan(0.5);
  expect(counted).toBeGreaterThan(2 * (await simulate(72, false)));
});

test('a flood of programs leaves the rate to those that have begun', async () => {
  expect(await simulate(200)).toBeGreaterThan(0.5);
});

test('a request without a program only needs a token', async () => {
  const fleet = new QuotaFleet(4, organisation, WINDOW_SECONDS);
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  const request = { organisation, programKey: undefined, stage: { kind: 'under-way' } } as const;
  const decisions = Promise.all(
    Array.from({ length: 60 }, () => fleet.take(fleet.instances[0]!, request)),
  );
  await jest.advanceTimersByTimeAsync(1_000);
  const taken = (await decisions).filter(({ kind }) => kind === 'taken');
  // The complete burst, whichever instance holds it, and what flows in while the last requests
  // wait.
  expect(taken.length).toBeGreaterThanOrEqual(28);
  expect(taken.length).toBeLessThanOrEqual(30 + SUSTAINED_PER_SECOND);
});

test('unresponsive instances withhold only their own share', async () => {
  const fleet = new QuotaFleet(4, organisation, WINDOW_SECONDS);
  fleet.unresponsive.add(3);
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  const random = new SeededRandom(7);
  const callers = new ProgramCallers({ fleet, organisation, random, marksFirstRequests: true });
  const simulation = callers.run(15, SIMULATED_MILLISECONDS);
  await jest.advanceTimersByTimeAsync(SIMULATED_MILLISECONDS + 30_000);
  await simulation;
  const onTime = callers.ends.filter(({ result }) => result === 'on-time');
  expect(onTime.length / callers.ends.length).toBeGreaterThan(0.9);
});
