import { SeededRandom } from '@limpetnotch/stand-ins';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import { ProgramCallers } from './programCallers';
import { QuotaFleet } from './quotaFleet';

const WINDOW_SECONDS = 5;
const PLAYED_MILLISECONDS = 30_000;
const SEEDS = [1, 2, 3, 4];

/** Requests a second that the window allows for good: 30 flow in, and a burst of 30 in a window. */
const SUSTAINED_PER_SECOND = 36;

const organisation: FleetOrganisation = {
  name: 'amman',
  keys: ['key'],
  priority: 0,
  rate: { perSecond: 30, burst: 30 },
};

/** Requests of programs that ended on time, over those asked for or, where fewer, allowed. */
const playOnce = async (
  demandPerSecond: number,
  seed: number,
  tellsBeginnings: boolean,
): Promise<number> => {
  const fleet = new QuotaFleet(4, organisation, WINDOW_SECONDS);
  const random = new SeededRandom(seed);
  const callers = new ProgramCallers({ fleet, organisation, random, tellsBeginnings });
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  const played = callers.run(demandPerSecond, PLAYED_MILLISECONDS);
  await jest.advanceTimersByTimeAsync(PLAYED_MILLISECONDS + 30_000);
  await played;
  const sum = (ends: typeof callers.ends): number => ends.reduce((all, { size }) => all + size, 0);
  const onTime = callers.ends.filter(({ result }) => result === 'on-time');
  const allowed = (SUSTAINED_PER_SECOND * PLAYED_MILLISECONDS) / 1_000;
  return sum(onTime) / Math.min(sum(callers.ends), allowed);
};

const play = async (demandPerSecond: number, tellsBeginnings = true): Promise<number> => {
  let total = 0;
  for (const seed of SEEDS) total += await playOnce(demandPerSecond, seed, tellsBeginnings);
  return total / SEEDS.length;
};

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('programs well within the rate end on time, however uneven the balancer', async () => {
  expect(await play(15)).toBeGreaterThan(0.95);
});

test('programs that need twice the rate mostly use it for ends on time', async () => {
  const counted = await play(72);
  expect(counted).toBeGreaterThan(0.5);
  expect(counted).toBeGreaterThan(2 * (await play(72, false)));
});

test('a flood of programs leaves the rate to those that have begun', async () => {
  expect(await play(200)).toBeGreaterThan(0.5);
});

test('a request of no program needs just a token', async () => {
  const fleet = new QuotaFleet(4, organisation, WINDOW_SECONDS);
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  const request = { organisation, programKey: undefined, stage: { kind: 'under-way' } } as const;
  const decisions = Promise.all(
    Array.from({ length: 60 }, () => fleet.instances[0]!.take(request)),
  );
  await jest.advanceTimersByTimeAsync(1_000);
  const taken = (await decisions).filter(({ kind }) => kind === 'taken');
  // The whole burst, wherever it is held, and what flows in while the last ones wait.
  expect(taken.length).toBeGreaterThanOrEqual(28);
  expect(taken.length).toBeLessThanOrEqual(30 + SUSTAINED_PER_SECOND);
});

test('instances that do not answer take nothing but their part', async () => {
  const fleet = new QuotaFleet(4, organisation, WINDOW_SECONDS);
  fleet.silent.add(3);
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  const random = new SeededRandom(7);
  const callers = new ProgramCallers({ fleet, organisation, random, tellsBeginnings: true });
  const played = callers.run(15, PLAYED_MILLISECONDS);
  await jest.advanceTimersByTimeAsync(PLAYED_MILLISECONDS + 30_000);
  await played;
  const onTime = callers.ends.filter(({ result }) => result === 'on-time');
  expect(onTime.length / callers.ends.length).toBeGreaterThan(0.9);
});
