import { setMaxListeners } from 'node:events';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { SharedObservation } from '@limpetnotch/observation';
import type { KeyValueStore } from '@limpetnotch/store';
import { Supervisor } from '@limpetnotch/supervision';
import { StorageDirectory } from '@limpetnotch/turns';
import { FleetFollower } from '../../src/fleet/fleetFollower';
import { FleetState } from '../../src/fleet/fleetState';
import { Membership } from '../../src/peers/membership';
import { CountedStore } from '../../src/work/countedStore';
import { WorkCounts } from '../../src/work/workCounts';
import { WatchedStore } from '../support/watchedStore';
import { platformLimits } from '../support/platformLimits';
import { rankInstances } from '../../src/util/rankInstances';
import { testFleetCodec } from '../support/testFleetCodec';

const START_SPREAD_MILLISECONDS = 300;
const START_MILLISECONDS = 10_000;
const DAY_MILLISECONDS = 50_000;
const CHANGE_MILLISECONDS = 1_000;

/** Price of a lease renewal in calls. */
const RENEWAL_PRICE = 0.1;

const zoneOf = (name: string): string => `zone-${Number(name.slice('instance-'.length)) % 4}`;

const ledger = { replaceAll: () => undefined, read: () => undefined, forget: () => undefined };

const stopping = new AbortController();
setMaxListeners(0, stopping.signal);

interface Fleet {
  readonly store: WatchedStore;
  readonly observations: Map<string, SharedObservation>;
}

const createObservation = (fleet: Fleet, store: KeyValueStore, name: string): SharedObservation => {
  const observation = new SharedObservation({
    store,
    instance: name,
    availabilityZone: zoneOf(name),
    source: {
      observe: (instance, known, signal) => {
        const relay = fleet.observations.get(instance)?.relay(known, signal);
        if (!relay) throw new Error('no such instance');
        return relay;
      },
    },
    rank: rankInstances,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  fleet.observations.set(name, observation);
  return observation;
};

const startInstance = async (fleet: Fleet, name: string): Promise<WorkCounts> => {
  const metrics = new MemoryMetrics();
  const counts = new WorkCounts(metrics);
  const store = new CountedStore(fleet.store.client, counts);
  const observation = createObservation(fleet, store, name);
  const membership: Membership = new Membership({
    store,
    observation,
    instance: name,
    address: `${name}:1`,
    availabilityZone: zoneOf(name),
    logger: silentLogger,
    onChange: () => observation.setFleet(membership.observingFleet),
    ledger,
    storage: new StorageDirectory({ logger: silentLogger }),
  });
  const follower = new FleetFollower({
    observation,
    bounds: platformLimits.bounds,
    codec: testFleetCodec,
    state: new FleetState(),
    logger: silentLogger,
    metrics,
    onConfiguration: () => undefined,
    onTargetsChanged: () => undefined,
    onRetirement: () => undefined,
    onStoreLost: () => undefined,
    onStoreRegained: () => undefined,
  });
  const supervisor = new Supervisor({ name, logger: silentLogger, metrics });
  for (const task of [...follower.tasks, ...membership.tasks, observation.task]) {
    await supervisor.startChild(task);
  }
  void supervisor.run(stopping.signal);
  return counts;
};

const sumPrices = (all: readonly WorkCounts[]): Figures => {
  const counts = all.flatMap((one) => Object.entries(one.takeCounts()));
  const calls = counts.reduce((sum, [, count]) => sum + count, 0);
  const renewals = counts
    .filter(([name]) => name.endsWith('renewLease'))
    .reduce((sum, [, count]) => sum + count, 0);
  return { calls, price: calls - renewals * (1 - RENEWAL_PRICE) };
};

interface Figures {
  readonly calls: number;
  readonly price: number;
}

/** Plays the start, a day without changes and a day with a change of a target each second. */
const play = async (
  size: number,
): Promise<Readonly<Record<'start' | 'idle' | 'changing', Figures>>> => {
  const store = new WatchedStore();
  const fleet: Fleet = { store, observations: new Map() };
  const starts = Array.from({ length: size }, async (_value, index) => {
    await new Promise((resolve) => {
      setTimeout(resolve, (START_SPREAD_MILLISECONDS * index) / size);
    });
    return startInstance(fleet, `instance-${index}`);
  });
  await jest.advanceTimersByTimeAsync(START_MILLISECONDS);
  const counts = await Promise.all(starts);
  const start = sumPrices(counts);
  await jest.advanceTimersByTimeAsync(DAY_MILLISECONDS);
  const idle = sumPrices(counts);
  for (let elapsed = 0; elapsed < DAY_MILLISECONDS; elapsed += CHANGE_MILLISECONDS) {
    store.overwrite('servers/t', String(elapsed));
    await jest.advanceTimersByTimeAsync(CHANGE_MILLISECONDS);
  }
  const changing = sumPrices(counts);
  return { start, idle, changing };
};

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

afterAll(() => stopping.abort());

// Work that grows with the number of instances: each watched all prefixes, 136 calls each.
test.each([
  [28, 1_450],
  [96, 2_250],
])(
  '%i instances share the reading of the store',
  async (size, priceLimit) => {
    const { start, idle, changing } = await play(size);
    expect(start.price / size).toBeLessThan(17);
    expect(start.price + idle.price).toBeLessThan(priceLimit);
    expect(start.price + changing.price).toBeLessThan(priceLimit);
  },
  120_000,
);

test('four instances make the calls that they made before', async () => {
  const { start, idle, changing } = await play(4);
  expect(start.calls).toBe(95);
  expect(idle.calls).toBe(300);
  expect(changing.calls).toBe(416);
});
