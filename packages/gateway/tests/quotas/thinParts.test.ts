import { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import type { QuotaDecision } from '../../src/quotas/quotaGate';
import { QuotaFleet } from './quotaFleet';

const WINDOW_SECONDS = 5;
const PROGRAM_REQUESTS = 14;
const REQUEST_MILLISECONDS = 120;
const EXPECTED_MILLISECONDS = 2_000;

const organisation: FleetOrganisation = {
  name: 'amman',
  keys: ['key'],
  priority: 0,
  rate: { perSecond: 18, burst: 18 },
};

/** Callers reach few instances, as the load balancer hashes them. */
const CALLERS = 6;

interface Load {
  readonly requestsPerSecond: number;
  readonly milliseconds: number;
}

/** Runs programs, each at one instance; returns all decisions, with the time of each. */
const runPrograms = async (fleet: QuotaFleet, { requestsPerSecond, milliseconds }: Load) => {
  const random = new SeededRandom(3);
  const decisions: { readonly at: number; readonly decision: QuotaDecision }[] = [];
  const callers = Array.from({ length: CALLERS }, () => random.pick(fleet.instances));
  const runProgram = async (index: number): Promise<void> => {
    const instance = random.pick(callers);
    for (let request = 0; request < PROGRAM_REQUESTS; request += 1) {
      const decision = await fleet.take(instance, {
        organisation,
        programKey: `program-${index}`,
        stage:
          request === 0
            ? { kind: 'new-program', expectedMilliseconds: EXPECTED_MILLISECONDS }
            : { kind: 'under-way' },
      });
      decisions.push({ at: performance.now(), decision });
      if (decision.kind === 'refused') return;
      await delay(REQUEST_MILLISECONDS);
    }
  };
  const until = performance.now() + milliseconds;
  const programs: Promise<void>[] = [];
  while (performance.now() < until) {
    await delay(random.exponential((1_000 * PROGRAM_REQUESTS) / requestsPerSecond));
    programs.push(runProgram(programs.length));
  }
  await Promise.all(programs);
  return decisions;
};

const startFleet = async (size: number): Promise<QuotaFleet> => {
  const fleet = new QuotaFleet(size, organisation, WINDOW_SECONDS);
  await jest.advanceTimersByTimeAsync(2 * WINDOW_SECONDS * 1_000);
  return fleet;
};

const finish = async <Value>(running: Promise<Value>, milliseconds: number): Promise<Value> => {
  await jest.advanceTimersByTimeAsync(milliseconds + 30_000);
  return running;
};

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

// Equal parts were below one token: 254 of 258 refusals hit programs under way at half the rate.
test.each([4, 23, 68, 150])('%i instances find the tokens of a small rate', async (size) => {
  const fleet = await startFleet(size);
  const load = { requestsPerSecond: 9, milliseconds: 30_000 };
  const decisions = await finish(runPrograms(fleet, load), load.milliseconds);
  const refused = decisions.filter(({ decision }) => decision.kind === 'refused');
  expect(refused.length / decisions.length).toBeLessThan(0.02);
  expect(fleet.calls / decisions.length).toBeLessThan(1);
});

test.each([4, 23, 68])('%i instances together never exceed a rate', async (size) => {
  const fleet = await startFleet(size);
  const load = { requestsPerSecond: 90, milliseconds: 20_000 };
  const decisions = await finish(runPrograms(fleet, load), load.milliseconds);
  const times = decisions.filter(({ decision }) => decision.kind === 'taken').map(({ at }) => at);
  times.sort((one, other) => one - other);
  const allowed = WINDOW_SECONDS * 18 + 18;
  const inWindow = times.map(
    (from) => times.filter((at) => at >= from && at < from + WINDOW_SECONDS * 1_000).length,
  );
  expect(Math.max(...inWindow)).toBeLessThanOrEqual(allowed);
  expect(times.length).toBeGreaterThan(0.6 * 18 * (load.milliseconds / 1_000));
});
