import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { Supervisor } from '@limpetnotch/supervision';
import { Membership } from '../../src/peers/membership';
import { CountedStore } from '../../src/work/countedStore';
import { WorkCounts } from '../../src/work/workCounts';
import { WatchedStore } from '../support/watchedStore';

/** The platform starts all instances within this time. */
const START_SPREAD_MILLISECONDS = 300;

/** Traffic begins at least this long after the start. */
const START_MILLISECONDS = 10_000;

const ledger = {
  replaceAll: (): void => undefined,
  read: (): void => undefined,
  forget: (): void => undefined,
};

interface Instance {
  readonly membership: Membership;
  readonly counts: WorkCounts;
}

const stopping = new AbortController();

const startInstance = async (store: WatchedStore, name: string): Promise<Instance> => {
  const metrics = new MemoryMetrics();
  const counts = new WorkCounts(metrics);
  const membership = new Membership({
    store: new CountedStore(store.client, counts),
    instance: name,
    address: `${name}:1`,
    availabilityZone: 'zone',
    logger: silentLogger,
    onChange: () => undefined,
    ledger,
  });
  const supervisor = new Supervisor({ name, logger: silentLogger, metrics });
  for (const task of membership.tasks) await supervisor.startChild(task);
  void supervisor.run(stopping.signal);
  return { membership, counts };
};

const startFleet = async (
  size: number,
  store = new WatchedStore(),
): Promise<readonly Instance[]> => {
  const starts = Array.from({ length: size }, async (_value, index) => {
    const wait = (START_SPREAD_MILLISECONDS * index) / size;
    await new Promise((resolve) => {
      setTimeout(resolve, wait);
    });
    return startInstance(store, `instance-${index}`);
  });
  await jest.advanceTimersByTimeAsync(START_MILLISECONDS);
  return Promise.all(starts);
};

const sumCalls = ({ counts }: Instance): number =>
  Object.values(counts.takeCounts()).reduce((sum, count) => sum + count, 0);

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

afterAll(() => stopping.abort());

// Each join was a swap that conflicted with all others and woke all watches: 213 calls an instance.
test.each([4, 23, 68, 150])('%i instances join with few calls each', async (size) => {
  const instances = await startFleet(size);
  instances.forEach(({ membership }) => {
    expect(membership.others).toHaveLength(size - 1);
    expect(membership.rateShare.holders).toBe(size);
  });
  const calls = instances.map(sumCalls).reduce((sum, count) => sum + count, 0);
  expect(calls / size).toBeLessThan(30);
});

test('an instance that is listed by another one waits before it uses its share', async () => {
  const store = new WatchedStore();
  await startFleet(4, store);
  const started = startInstance(store, 'late');
  await jest.advanceTimersByTimeAsync(0);
  const { membership } = await started;
  const sharesAt = async (milliseconds: number): Promise<number> => {
    await jest.advanceTimersByTimeAsync(milliseconds);
    return membership.rateShare.holders;
  };
  expect(await sharesAt(1_500)).toBe(0);
  expect(await sharesAt(3_000)).toBe(5);
});

test('a restarted instance uses its share at once', async () => {
  const store = new WatchedStore();
  await startFleet(4, store);
  const restarted = startInstance(store, 'instance-2');
  await jest.advanceTimersByTimeAsync(50);
  expect((await restarted).membership.rateShare.holders).toBe(4);
});
