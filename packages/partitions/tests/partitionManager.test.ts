import { Fleet } from './support/fleet';
import { unwrap, unwrapError } from './support/unwrap';

const PARTITIONS = 8;
const numbers = Array.from({ length: PARTITIONS }, (_value, partition) => partition);

beforeEach(() => jest.useFakeTimers());
afterEach(() => {
  jest.restoreAllMocks();
  jest.useRealTimers();
});

const startThree = async (): Promise<Fleet> => {
  const fleet = new Fleet(PARTITIONS);
  fleet.start();
  fleet.start();
  fleet.start();
  await jest.advanceTimersByTimeAsync(2_000);
  return fleet;
};

const stop = async (fleet: Fleet): Promise<void> => {
  fleet.instances.forEach((instance) => instance.kill());
  await jest.advanceTimersByTimeAsync(10_000);
};

test('each partition has exactly one owner', async () => {
  const fleet = await startThree();
  for (const partition of numbers) {
    const owners = fleet.instances.filter((instance) => instance.owns(partition));
    expect(owners).toHaveLength(1);
    const others = fleet.instances.filter((instance) => !instance.owns(partition));
    others.forEach((other) =>
      expect(other.manager.ownershipOf(partition)).toMatchObject({
        kind: 'remote',
        owner: owners[0]!.member,
      }),
    );
  }
  await stop(fleet);
});

test('records outlive their owner', async () => {
  const fleet = await startThree();
  const owner = fleet.ownerOf(0)!;
  const appended = owner.states.get(0)!.append({ value: 1 });
  await jest.advanceTimersByTimeAsync(100);
  expect(unwrap(await appended)).toEqual({ durability: 'durable' });
  owner.kill();
  const diedAt = Date.now();
  await jest.advanceTimersByTimeAsync(4_000);
  const next = fleet.ownerOf(0)!;
  const state = next.states.get(0)!;
  expect(state.records).toEqual([{ value: 1 }]);
  expect(state.handedOver).toBe(false);
  expect(state.previousOwnerMayActUntilMilliseconds).toBeGreaterThan(diedAt + 3_000);
  await stop(fleet);
});

test('a deposed owner acknowledges nothing', async () => {
  const fleet = await startThree();
  const owner = fleet.ownerOf(0)!;
  const state = owner.states.get(0)!;
  owner.faults.isDown = true;
  owner.faults.isWatchStalled = true;
  await jest.advanceTimersByTimeAsync(4_500);
  expect(fleet.instances.filter((instance) => instance.owns(0))).toHaveLength(2);
  owner.faults.isDown = false;
  const appended = state.append('late');
  await jest.advanceTimersByTimeAsync(200);
  expect(unwrapError(await appended)).toEqual({ kind: 'deposed' });
  expect(state.isStopped).toBe(true);
  expect(owner.metrics.counter('partition.deposed')).toBeGreaterThan(0);
  await stop(fleet);
});

test('a head of a newer format is not changed', async () => {
  const fleet = new Fleet(1);
  fleet.store.swap({ key: 'partitions/0', expectedRevision: 0, value: '{"formatVersion":2}' });
  const instance = fleet.start();
  await jest.advanceTimersByTimeAsync(20_000);
  expect(instance.owns(0)).toBe(false);
  expect(instance.metrics.counter('partition.failures')).toBeGreaterThan(1);
  expect(fleet.store.read('partitions/0')?.value).toBe('{"formatVersion":2}');
  await stop(fleet);
});

test('a claim that fails is repeated after a pause', async () => {
  // A watch that is renewed between the start of the outage and the end of the lease misses that
  // the owner ended, and then no instance claims. Without jitter, no renewal falls into that half
  // second.
  jest.spyOn(Math, 'random').mockReturnValue(0);
  const fleet = await startThree();
  fleet.ownerOf(0)!.kill();
  const claimers = fleet.instances.filter(({ isDead }) => !isDead);
  await jest.advanceTimersByTimeAsync(2_500);
  claimers.forEach(({ faults }) => Object.assign(faults, { isDown: true }));
  await jest.advanceTimersByTimeAsync(2_000);
  const failures = claimers.map(({ metrics }) =>
    metrics.counter('partition.claim-failures', { kind: 'try-again' }),
  );
  // At most one attempt per half second for each partition.
  failures.forEach((count) => expect(count).toBeLessThanOrEqual(PARTITIONS * 4));
  failures.forEach((count) => expect(count).toBeGreaterThan(0));
  await stop(fleet);
});

test('concurrent refreshes of one partition share one read', async () => {
  // With jitter, renewals by the instances occasionally fall into the same millisecond.
  jest.spyOn(Math, 'random').mockReturnValue(0);
  const fleet = await startThree();
  const [instance] = fleet.instances;
  const before = fleet.store.operations;
  const refreshed = Promise.all(Array.from({ length: 20 }, () => instance!.manager.refresh(0)));
  await jest.advanceTimersByTimeAsync(1);
  expect(new Set((await refreshed).map(({ kind }) => kind)).size).toBe(1);
  expect(fleet.store.operations - before).toBe(1);
  await stop(fleet);
});

test('an outage that ends every lease moves no partition', async () => {
  const fleet = await startThree();
  const before = numbers.map((partition) => fleet.ownerOf(partition)!.member.instance);
  fleet.instances.forEach(({ faults }) => Object.assign(faults, { isDown: true }));
  await jest.advanceTimersByTimeAsync(20_000);
  fleet.instances.forEach(({ faults }) => Object.assign(faults, { isDown: false }));
  await jest.advanceTimersByTimeAsync(10_000);
  expect(numbers.map((partition) => fleet.ownerOf(partition)!.member.instance)).toEqual(before);
  await stop(fleet);
});
