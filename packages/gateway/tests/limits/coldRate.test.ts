import { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import fc from 'fast-check';
import { chooseLimitHolders } from '../../src/limits/chooseLimitHolders';
import { LimitsInForce } from '../../src/limits/limitsInForce';
import { fleetTarget } from '../support/fleetTarget';
import { CountingTarget, LimitFleet } from './limitFleet';

const COLD_PER_SECOND = 26;

/** Requests that the platform tolerates in any second: 1.5 times the rate, and 5. */
const TOLERATED = COLD_PER_SECOND * 1.5 + 5;

const COLD_MILLISECONDS = 4_000;

const WINDOW_MILLISECONDS = 1_000;

/** Longest time that the simulation of a large fleet may take on a busy machine. */
const SIMULATION_MILLISECONDS = 60_000;

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const run = async (scenario: Promise<void>): Promise<void> => {
  let isDone = false;
  const done = scenario.finally(() => {
    isDone = true;
  });
  while (!isDone) await jest.advanceTimersByTimeAsync(20);
  await done;
};

const SERVICES = [
  {
    name: 's',
    connectionLimit: 8,
    coldStart: { milliseconds: COLD_MILLISECONDS, requestsPerSecond: COLD_PER_SECOND },
  },
];

const createTarget = (bornMilliseconds = 1): CountingTarget =>
  new CountingTarget(fleetTarget({ id: 't0', bornMilliseconds }));

/** Has an instance read an announcement of a target. */
const announce = (
  fleet: LimitFleet,
  name: string,
  counting: CountingTarget,
  change: { readonly revision?: number; readonly coldRemainingMilliseconds?: number } = {},
): void => {
  const instance = fleet.instances.get(name);
  if (!instance) return;
  const { revision = 5, ...announced } = change;
  const target = { ...counting.target, ...announced };
  instance.fleet.coldTargets.configure(SERVICES);
  instance.fleet.coldTargets.observe(target, revision, false);
  instance.fleet.targets.put(target);
};

interface Load {
  readonly milliseconds: number;
  readonly meanPauseMilliseconds: number;
}

/** Sends at every instance that knows the target, on average once in the given time. */
const sendAll = async (
  fleet: LimitFleet,
  counting: CountingTarget,
  random: SeededRandom,
  { milliseconds, meanPauseMilliseconds }: Load,
): Promise<void> => {
  const until = performance.now() + milliseconds;
  const sendAt = async (name: string): Promise<void> => {
    while (performance.now() < until) {
      await delay(random.exponential(meanPauseMilliseconds));
      if (fleet.instances.get(name)?.fleet.targets.get('t0')) void fleet.send(name, counting);
    }
  };
  await Promise.all(fleet.names.map(sendAt));
};

/** Most requests within any second of a time. */
const countMost = ({ arrivals }: CountingTarget, from: number, until: number): number => {
  const counted = arrivals.filter((at) => at >= from && at < until);
  return Math.max(
    0,
    ...counted.map(
      (at) => counted.filter((other) => other > at - WINDOW_MILLISECONDS && other <= at).length,
    ),
  );
};

const demandOf = (instances: number, perSecond: number): number => (1_000 * instances) / perSecond;

test.each([1, 4, 28, 96])(
  '%i instances that read of a new target one after the other keep its rate from the first request on',
  async (count) => {
    const random = new SeededRandom(11);
    const fleet = new LimitFleet(count, random);
    const counting = createTarget();
    const began = performance.now();
    const load = { milliseconds: COLD_MILLISECONDS, meanPauseMilliseconds: demandOf(count, 400) };
    const read = async (name: string): Promise<void> => {
      await delay(random.integer(0, 300));
      announce(fleet, name, counting);
    };
    await run(
      Promise.all([sendAll(fleet, counting, random, load), ...fleet.names.map(read)]).then(
        () => undefined,
      ),
    );
    fleet.stop();
    const until = began + COLD_MILLISECONDS;
    expect(countMost(counting, began, until)).toBeLessThanOrEqual(TOLERATED);
    const used = counting.arrivals.filter((at) => at >= began + 1_000 && at < until).length / 3;
    expect(used).toBeGreaterThanOrEqual(0.5 * COLD_PER_SECOND);
  },
  SIMULATION_MILLISECONDS,
);

// A bucket that fills during a pause would let a burst through, on top of the rate.
test('requests after a pause come without a burst', async () => {
  const random = new SeededRandom(18);
  const fleet = new LimitFleet(4, random);
  const counting = createTarget();
  fleet.names.forEach((name) => announce(fleet, name, counting));
  await run(
    (async () => {
      await fleet.send('i0', counting);
      await delay(2_000);
      await sendAll(fleet, counting, random, { milliseconds: 1_900, meanPauseMilliseconds: 5 });
    })(),
  );
  fleet.stop();
  expect(countMost(counting, 0, Infinity)).toBeLessThanOrEqual(COLD_PER_SECOND + 2);
  expect(counting.arrivals.length).toBeGreaterThan(25);
});

// A response without a limit ends a limit that the target has named, but not this one.
test('responses that name no limit leave the rate in force', async () => {
  const random = new SeededRandom(12);
  const fleet = new LimitFleet(4, random);
  const counting = createTarget();
  fleet.names.forEach((name) => announce(fleet, name, counting));
  const load = { milliseconds: 3_500, meanPauseMilliseconds: 20 };
  await run(sendAll(fleet, counting, random, load));
  fleet.stop();
  expect(counting.arrivals.length).toBeGreaterThan(30);
  expect(countMost(counting, 0, Infinity)).toBeLessThanOrEqual(TOLERATED);
});

test('the smaller one of the rate and of a limit that the target names applies', async () => {
  const random = new SeededRandom(13);
  const fleet = new LimitFleet(4, random);
  const counting = createTarget();
  counting.requestsPerSecond = 4;
  const warm = { coldRemainingMilliseconds: 0 };
  fleet.names.forEach((name) => announce(fleet, name, counting, warm));
  await run(
    (async () => {
      await fleet.send('i0', counting);
      await delay(200);
    })(),
  );
  const cold = { coldRemainingMilliseconds: COLD_MILLISECONDS, revision: 9 };
  fleet.names.forEach((name) => announce(fleet, name, counting, cold));
  const began = performance.now();
  const load = { milliseconds: 3_800, meanPauseMilliseconds: 20 };
  await run(sendAll(fleet, counting, random, load));
  fleet.stop();
  const later = counting.arrivals.filter((at) => at >= began + 1_000).length;
  expect(later).toBeGreaterThan(5);
  expect(later).toBeLessThanOrEqual(1.5 * 4 * 2.8 + 5);
});

test('a target that restarts under its id has its rate once', async () => {
  const random = new SeededRandom(14);
  const fleet = new LimitFleet(4, random);
  const first = createTarget(1);
  const second = createTarget(2);
  const began = performance.now();
  fleet.names.forEach((name) => announce(fleet, name, first));
  const load = { milliseconds: 5_000, meanPauseMilliseconds: 20 };
  const restart = async (): Promise<void> => {
    await delay(2_000);
    fleet.names.forEach((name) => announce(fleet, name, second, { revision: 9 }));
  };
  await run(Promise.all([sendAll(fleet, first, random, load), restart()]).then(() => undefined));
  fleet.stop();
  expect(countMost(first, began, began + 6_000)).toBeLessThanOrEqual(TOLERATED);
});

test('an instance without the store learns from others that a target has become cold', async () => {
  const random = new SeededRandom(15);
  const fleet = new LimitFleet(6, random);
  const counting = createTarget();
  const warm = { coldRemainingMilliseconds: 0 };
  fleet.names.forEach((name) => announce(fleet, name, counting, warm));
  const cold = { coldRemainingMilliseconds: COLD_MILLISECONDS, revision: 9 };
  await run(
    (async () => {
      fleet.names.slice(1).forEach((name) => announce(fleet, name, counting, cold));
      await delay(100);
    })(),
  );
  expect(fleet.instances.get('i0')?.gate.isLimited(counting.target)).toBe(true);
  await run(delay(COLD_MILLISECONDS));
  const limited = fleet.names.filter((name) =>
    fleet.instances.get(name)?.gate.isLimited(counting.target),
  );
  fleet.stop();
  expect(limited).toEqual([]);
});

// Without the store, only refused connections show that a target starts again.
test('an instance that finds a target gone tells the others that it will be cold', async () => {
  const random = new SeededRandom(19);
  const fleet = new LimitFleet(6, random);
  const counting = createTarget();
  const warm = { coldRemainingMilliseconds: 0 };
  fleet.names.forEach((name) => announce(fleet, name, counting, warm));
  const began = performance.now();
  await run(
    (async () => {
      const state = fleet.instances.get('i3')!.fleet;
      state.areTargetsUnconfirmed = true;
      state.recordRefusal(counting.target);
      await delay(200);
      expect(
        fleet.names.filter((name) => fleet.instances.get(name)?.gate.isLimited(counting.target)),
      ).toEqual(fleet.names);
      await sendAll(fleet, counting, random, { milliseconds: 4_000, meanPauseMilliseconds: 20 });
    })(),
  );
  fleet.stop();
  expect(countMost(counting, began, Infinity)).toBeLessThanOrEqual(TOLERATED);
  expect(counting.arrivals.length).toBeGreaterThan(30);
});

test('a refused connection while the store is there makes no target cold', () => {
  const fleet = new LimitFleet(1, new SeededRandom(20));
  const counting = createTarget();
  announce(fleet, 'i0', counting, { coldRemainingMilliseconds: 0 });
  fleet.instances.get('i0')!.fleet.recordRefusal(counting.target);
  expect(fleet.instances.get('i0')?.gate.isLimited(counting.target)).toBe(false);
  fleet.stop();
});

// A restarted instance reads announcements of any age; what they say must not slow the others.
test('an instance that restarts makes no target cold at the others', async () => {
  const random = new SeededRandom(16);
  const fleet = new LimitFleet(4, random);
  const counting = createTarget();
  fleet.names.forEach((name) =>
    announce(fleet, name, counting, { coldRemainingMilliseconds: 500 }),
  );
  await run(delay(1_000));
  await run(
    (async () => {
      fleet.names.forEach((name) => fleet.instances.get(name)?.fleet.coldTargets.confirm());
      const { owner = '' } = chooseLimitHolders('cold-targets', fleet.names);
      fleet.start(owner);
      const { coldTargets, targets } = fleet.instances.get(owner)!.fleet;
      const target = { ...counting.target, coldRemainingMilliseconds: 3_000 };
      coldTargets.configure(SERVICES);
      coldTargets.observe(target, 5, true);
      targets.put(target);
      for (let request = 0; request < 5; request += 1) await fleet.send(owner, counting);
      await delay(200);
    })(),
  );
  const limited = fleet.names.filter((name) =>
    fleet.instances.get(name)?.gate.isLimited(counting.target),
  );
  fleet.stop();
  expect(limited).toEqual([chooseLimitHolders('cold-targets', fleet.names).owner]);
});

// The earlier build ignores cold targets; the others must get tokens although it holds them.
test('instances beside an earlier build that holds the tokens use the rate', async () => {
  const random = new SeededRandom(17);
  const fleet = new LimitFleet(4, random);
  const counting = createTarget();
  const key = LimitsInForce.toColdKey('t0');
  const { owner = '' } = chooseLimitHolders(key, fleet.names);
  fleet.earlierBuilds.add(owner);
  fleet.start(owner);
  const current = fleet.names.filter((name) => name !== owner);
  current.forEach((name) => announce(fleet, name, counting));
  const began = performance.now();
  const load = { milliseconds: 3_500, meanPauseMilliseconds: 20 };
  await run(sendAll(fleet, counting, random, load));
  const isLimitedThere = fleet.instances.get(owner)?.gate.isLimited(counting.target);
  fleet.stop();
  expect(isLimitedThere).toBe(false);
  const used = counting.arrivals.filter((at) => at >= began + 1_000).length / 2.5;
  expect(used).toBeGreaterThanOrEqual(0.5 * COLD_PER_SECOND);
  // The earlier build allows a burst of half a second on top of the rate.
  expect(countMost(counting, began, Infinity)).toBeLessThanOrEqual(1.5 * TOLERATED);
});

const faultArbitrary = fc.record({
  atMilliseconds: fc.integer({ min: 0, max: 5_000 }),
  forMilliseconds: fc.integer({ min: 100, max: 4_000 }),
  kind: fc.constantFrom('restart', 'cut-from-peers', 'cut-from-store', 'join', 'again'),
  instance: fc.integer({ min: 0, max: 7 }),
});

const scenarioArbitrary = fc.record({
  seed: fc.integer(),
  instances: fc.integer({ min: 2, max: 8 }),
  lossProbability: fc.constantFrom(0, 0.05, 0.3),
  longestDelayMilliseconds: fc.constantFrom(1, 5, 50),
  longestReadMilliseconds: fc.constantFrom(1, 200, 1_500),
  faults: fc.array(faultArbitrary, { maxLength: 2 }),
});

test(
  'no second holds more requests than a cold target sustains, whatever is lost, late or restarted',
  async () => {
    await fc.assert(
      fc.asyncProperty(scenarioArbitrary, async (scenario) => {
        const random = new SeededRandom(scenario.seed);
        const fleet = new LimitFleet(scenario.instances, random);
        fleet.lossProbability = scenario.lossProbability;
        fleet.longestDelayMilliseconds = scenario.longestDelayMilliseconds;
        const counting = createTarget();
        const cold = { coldRemainingMilliseconds: 8_000 };
        const read = async (name: string): Promise<void> => {
          await delay(random.integer(0, scenario.longestReadMilliseconds));
          announce(fleet, name, counting, cold);
        };
        const applyFault = async (fault: (typeof scenario.faults)[number]): Promise<void> => {
          const name = `i${fault.instance % scenario.instances}`;
          await delay(fault.atMilliseconds);
          switch (fault.kind) {
            case 'restart':
              fleet.start(name);
              announce(fleet, name, counting, cold);
              break;
            case 'cut-from-peers':
              fleet.cutFromPeers.add(name);
              await delay(fault.forMilliseconds);
              fleet.cutFromPeers.delete(name);
              break;
            case 'cut-from-store':
              fleet.cutOffStore(name);
              await delay(fault.forMilliseconds);
              fleet.reconnectStore(name);
              break;
            case 'join': {
              const joining = `j${fault.instance}`;
              await fleet.changeMembers([...new Set([...fleet.names, joining])]);
              announce(fleet, joining, counting, cold);
              break;
            }
            case 'again':
              fleet.names.forEach((other) =>
                announce(fleet, other, counting, { ...cold, revision: 9 }),
              );
          }
        };
        const began = performance.now();
        const load = { milliseconds: 7_500, meanPauseMilliseconds: 30 };
        await run(
          Promise.all([
            sendAll(fleet, counting, random, load),
            ...fleet.names.map(read),
            ...scenario.faults.map(applyFault),
          ]).then(() => undefined),
        );
        fleet.stop();
        const most = countMost(counting, began, began + 8_000);
        expect(most).toBeLessThanOrEqual(TOLERATED);
      }),
      { numRuns: 40, seed: 34 },
    );
  },
  SIMULATION_MILLISECONDS,
);
