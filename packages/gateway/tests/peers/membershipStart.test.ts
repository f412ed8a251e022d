import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { followPrefix } from '@limpetnotch/store';
import { Supervisor } from '@limpetnotch/supervision';
import { StorageDirectory } from '@limpetnotch/turns';
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
  const counted = new CountedStore(store.client, counts);
  const membership = new Membership({
    store: counted,
    observation: { follow: (options) => followPrefix({ ...options, store: counted }) },
    instance: name,
    address: `${name}:1`,
    availabilityZone: 'zone',
    logger: silentLogger,
    onChange: () => undefined,
    ledger,
    storage: new StorageDirectory({ logger: silentLogger }),
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
    expect(membership.rateLayout.kind).toBe(size > 8 ? 'holders' : 'equal-parts');
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
  const getLayoutAfter = async (milliseconds: number): Promise<string> => {
    await jest.advanceTimersByTimeAsync(milliseconds);
    return membership.rateLayout.kind;
  };
  expect(await getLayoutAfter(1_500)).toBe('none');
  expect(await getLayoutAfter(3_000)).toBe('equal-parts');
});

test('a restarted instance uses its share at once', async () => {
  const store = new WatchedStore();
  await startFleet(4, store);
  const restarted = startInstance(store, 'instance-2');
  await jest.advanceTimersByTimeAsync(50);
  expect((await restarted).membership.rateLayout.kind).toBe('equal-parts');
});

/** What instances of cf847bf write. */
const announceEarlierVersion = async (store: WatchedStore, name: string): Promise<void> => {
  const written = store.client.compareAndSwap({
    key: `limpetnotch/instances/${name}`,
    expectedRevision: 0,
    value: JSON.stringify({ address: `${name}:1`, availabilityZone: 'zone' }),
  });
  await jest.advanceTimersByTimeAsync(10);
  await written;
};

// Equal parts of some and whole parts of others would add up to more than the rate.
test('rates stay in equal parts while a member is of an earlier version', async () => {
  const store = new WatchedStore();
  await announceEarlierVersion(store, 'earlier');
  const [instance] = await startFleet(9, store);
  expect(instance?.membership.rateLayout).toMatchObject({ kind: 'equal-parts' });
  expect(instance?.membership.others).toContain('earlier');
});

test('parts are reduced while a member of an earlier version is new', async () => {
  const store = new WatchedStore();
  const [instance] = await startFleet(12, store);
  const value = JSON.stringify({ address: 'instance-3:1', availabilityZone: 'zone' });
  store.overwrite('limpetnotch/instances/instance-3', value);
  await jest.advanceTimersByTimeAsync(500);
  expect(instance?.membership.rateLayout).toMatchObject({ kind: 'holders', stage: 'settling' });
  await jest.advanceTimersByTimeAsync(1_500);
  expect(instance?.membership.rateLayout).toMatchObject({ kind: 'equal-parts' });
});

test('the members that choose holders are listed again after an earlier version wrote', async () => {
  const store = new WatchedStore();
  const [instance] = await startFleet(12, store);
  const names = JSON.parse(store.read('limpetnotch/members') ?? '').members;
  store.overwrite('limpetnotch/members', JSON.stringify({ members: names }));
  await jest.advanceTimersByTimeAsync(500);
  expect(instance?.membership.rateLayout).toMatchObject({ kind: 'holders', stage: 'settling' });
  await jest.advanceTimersByTimeAsync(8_000);
  expect(instance?.membership.rateLayout).toMatchObject({ kind: 'holders', stage: 'settled' });
});

test('an instance that was removed while it was away joins again, and waits for its share', async () => {
  const store = new WatchedStore();
  const instances = await startFleet(4, store);
  const { membership } = instances[3]!;
  const { others } = membership;
  store.overwrite(
    'limpetnotch/members',
    JSON.stringify({ members: others, choosingMembers: others }),
  );
  await jest.advanceTimersByTimeAsync(300);
  expect(membership.rateLayout.kind).toBe('none');
  await jest.advanceTimersByTimeAsync(2_500);
  expect(JSON.parse(store.read('limpetnotch/members') ?? '').members).toContain('instance-3');
  expect(membership.rateLayout.kind).toBe('none');
  await jest.advanceTimersByTimeAsync(2_500);
  expect(membership.rateLayout.kind).toBe('equal-parts');
});
