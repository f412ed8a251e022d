import { Fleet } from './support/fleet';

const PARTITIONS = 16;
const numbers = Array.from({ length: PARTITIONS }, (_value, partition) => partition);

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const start = async (count: number): Promise<Fleet> => {
  const fleet = new Fleet(PARTITIONS);
  for (let number = 0; number < count; number += 1) fleet.start();
  await jest.advanceTimersByTimeAsync(15_000);
  return fleet;
};

const stop = async (fleet: Fleet): Promise<void> => {
  fleet.instances.forEach((instance) => instance.kill());
  await jest.advanceTimersByTimeAsync(10_000);
};

test('a drained instance hands every partition over at once', async () => {
  const fleet = await start(4);
  const leaving = fleet.instances[0]!;
  const partitions = numbers.filter((partition) => leaving.owns(partition));
  const appended = leaving.states.get(partitions[0]!)!.append('kept');
  await jest.advanceTimersByTimeAsync(100);
  expect((await appended).isOk()).toBe(true);
  const drained = leaving.manager.drain();
  await jest.advanceTimersByTimeAsync(200);
  expect(await drained).toBe(0);
  for (const partition of partitions) {
    const next = fleet.ownerOf(partition)!;
    expect(next.states.get(partition)).toMatchObject({
      handedOver: true,
      previousOwnerMayActUntilMilliseconds: 0,
    });
  }
  expect(fleet.ownerOf(partitions[0]!)!.states.get(partitions[0]!)!.records).toEqual(['kept']);
  await stop(fleet);
});

test('a handover waits for the calls in progress', async () => {
  const fleet = await start(2);
  const leaving = fleet.instances.find((instance) => instance.owns(0))!;
  leaving.states.get(0)!.drainMilliseconds = 30_000;
  const drained = leaving.manager.drain();
  await jest.advanceTimersByTimeAsync(29_000);
  expect(leaving.manager.stateOf(0)).toBeDefined();
  expect(leaving.manager.ownershipOf(0)).toEqual({ kind: 'unowned' });
  await jest.advanceTimersByTimeAsync(1_500);
  expect(await drained).toBe(0);
  expect(fleet.ownerOf(0)).not.toBe(leaving);
  await stop(fleet);
});

test('a joining member receives its share, and no other partition moves', async () => {
  const fleet = await start(3);
  const before = numbers.map((partition) => fleet.ownerOf(partition));
  const handovers = (): number =>
    fleet.instances.reduce((sum, { metrics }) => sum + metrics.counter('partition.handovers'), 0);
  const handedBefore = handovers();
  const joined = fleet.start();
  await jest.advanceTimersByTimeAsync(15_000);
  const after = numbers.map((partition) => fleet.ownerOf(partition));
  const gained = numbers.filter((partition) => after[partition] === joined);
  expect(gained.length).toBeGreaterThan(0);
  expect(handovers() - handedBefore).toBe(gained.length);
  const kept = numbers.filter((partition) => !gained.includes(partition));
  expect(kept.map((partition) => after[partition])).toEqual(
    kept.map((partition) => before[partition]),
  );
  await stop(fleet);
});

test('a partition is claimed by another instance even if the offer is lost', async () => {
  const fleet = await start(3);
  const leaving = fleet.ownerOf(0)!;
  leaving.isIsolated = true;
  const drained = leaving.manager.drain();
  await jest.advanceTimersByTimeAsync(1_500);
  expect(await drained).toBe(0);
  expect(fleet.ownerOf(0)!.states.get(0)!.handedOver).toBe(true);
  await stop(fleet);
});

test('an instance drained during an outage of the store loses no record', async () => {
  const fleet = await start(4);
  const leaving = fleet.ownerOf(0)!;
  fleet.instances.forEach(({ faults }) => Object.assign(faults, { isDown: true }));
  await jest.advanceTimersByTimeAsync(4_000);
  const appended = leaving.states.get(0)!.append('kept');
  await jest.advanceTimersByTimeAsync(1_000);
  expect((await appended)._unsafeUnwrap().durability).toBe('deferred');
  const drained = leaving.manager.drain();
  await jest.advanceTimersByTimeAsync(10_000);
  expect(await drained).toBeGreaterThan(0);
  leaving.kill();
  const others = fleet.instances.filter((instance) => instance !== leaving);
  others.forEach(({ faults }) => Object.assign(faults, { isDown: false }));
  await jest.advanceTimersByTimeAsync(15_000);
  expect(fleet.ownerOf(0)!.states.get(0)!.records).toEqual(['kept']);
  await stop(fleet);
});

test('a handover whose hint and offer were lost leaves no partition without an owner', async () => {
  const fleet = await start(2);
  const [previousOwner, next] = [fleet.instances[0]!, fleet.instances[1]!];
  const partition = numbers.find((number) => next.owns(number))!;
  const head = fleet.store.read(`partitions/${partition}`)!;
  const hint = fleet.store.read(`owners/${partition}`)!;
  const epoch = fleet.newestEpoch(partition) + 1;
  const claimed = { epoch, owner: previousOwner.member };
  const put = (entry: typeof head, value: object): void => {
    const text = JSON.stringify({ ...(JSON.parse(entry.value) as object), ...value });
    fleet.store.swap({ key: entry.key, expectedRevision: entry.revision, value: text });
  };
  put(head, { ...claimed, handedOver: true });
  // The previous owner knows that it handed the partition over; the others have the hint of its
  // claim.
  const refreshed = previousOwner.manager.refresh(partition);
  await jest.advanceTimersByTimeAsync(10);
  await refreshed;
  put(hint, { ...claimed, handedOver: false });
  await jest.advanceTimersByTimeAsync(10_000);
  expect(fleet.ownerOf(partition)).toBe(next);
  await stop(fleet);
});
