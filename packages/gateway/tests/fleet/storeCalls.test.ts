import { setMaxListeners } from 'node:events';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { SharedObservation } from '@limpetnotch/observation';
import type { KeyValueStore } from '@limpetnotch/store';
import { Supervisor } from '@limpetnotch/supervision';
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
  });
  const follower = new FleetFollower({
    observation,
    bounds: platformLimits.bounds,
    codec: testFleetCodec,
    state: new FleetState(),
    logger: silentLogger,
    onConfiguration: () => undefined,
    onTargetsChanged: () => undefined,
    onRetirement: () => undefined,
    onStoreRegained: () => undefined,
  });
  const supervisor = new Supervisor({ name, logger: silentLogger, metrics });
  for (const task of [...follower.tasks, ...membership.tasks, observation.task]) {
    await supervisor.startChild(task);
  }
  void supervisor.run(stopping.signal);
  return counts;
};

const sumPrices = (all: readonly WorkCounts[]): { calls: number; price: number } => {
  const counts = all.flatMap((one) => Object.entries(one.takeCounts()));
  const calls = counts.reduce((sum, [, count]) => sum + count, 0);
  const renewals = counts
    .filter(([name]) => name.endsWith('renewLease'))
    .reduce((sum, [, count]) => sum + count, 0);
  return { calls, price: calls - renewals * (1 - RENEWAL_PRICE) };
};

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

afterAll(() => stopping.abort());

test.each([4, 28, 96])(
  'store calls of %i instances',
  async (size) => {
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
    process.stdout.write(
      `${JSON.stringify({ size, start, idle, changing, modes: [...fleet.observations.values()].map(({ mode }) => mode).join() })}\n`,
    );
  },
  60_000,
);
