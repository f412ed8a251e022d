import type { Instance } from './support/fleet';
import { Fleet } from './support/fleet';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const startFour = async (): Promise<Fleet> => {
  const fleet = new Fleet(1);
  for (let number = 0; number < 4; number += 1) fleet.start();
  await jest.advanceTimersByTimeAsync(10_000);
  return fleet;
};

const stop = async (fleet: Fleet): Promise<void> => {
  fleet.instances.forEach((instance) => instance.kill());
  await jest.advanceTimersByTimeAsync(10_000);
};

const setDown = (instances: readonly Instance[], isDown: boolean): void =>
  instances.forEach(({ faults }) => Object.assign(faults, { isDown }));

const appendWithin = async (
  instance: Instance,
  record: string,
  milliseconds: number,
): Promise<string> => {
  const appended = instance.states.get(0)!.append(record);
  await jest.advanceTimersByTimeAsync(milliseconds);
  const result = await appended;
  return result.match(
    ({ durability }) => durability,
    ({ kind }) => kind,
  );
};

test('records are deferred while no instance reaches the store, and durable afterwards', async () => {
  const fleet = await startFour();
  const owner = fleet.ownerOf(0)!;
  setDown(fleet.instances, true);
  expect(await appendWithin(owner, 'first', 4_000)).toBe('deferred');
  await jest.advanceTimersByTimeAsync(60_000);
  expect(owner.manager.mayAct(0)).toBe(true);
  expect(await appendWithin(owner, 'second', 1_000)).toBe('deferred');
  setDown(fleet.instances, false);
  await jest.advanceTimersByTimeAsync(2_000);
  expect(await appendWithin(owner, 'third', 1_000)).toBe('durable');
  owner.kill();
  await jest.advanceTimersByTimeAsync(10_000);
  expect(fleet.ownerOf(0)!.states.get(0)!.records).toEqual(['first', 'second', 'third']);
  await stop(fleet);
});

test('deferred records outlive the owner and one witness', async () => {
  const fleet = await startFour();
  const owner = fleet.ownerOf(0)!;
  const [witness] = fleet.instances.filter((instance) => instance !== owner);
  setDown(fleet.instances, true);
  expect(await appendWithin(owner, 'first', 4_000)).toBe('deferred');
  expect(await appendWithin(owner, 'second', 1_000)).toBe('deferred');
  owner.kill();
  witness!.kill();
  setDown(
    fleet.instances.filter((instance) => !instance.isIsolated),
    false,
  );
  await jest.advanceTimersByTimeAsync(15_000);
  const next = fleet.ownerOf(0)!;
  expect(next.states.get(0)!.records).toEqual(['first', 'second']);
  expect(await appendWithin(next, 'third', 1_000)).toBe('durable');
  await stop(fleet);
});

test('an owner that is the only one to lose the store defers nothing', async () => {
  const fleet = await startFour();
  const owner = fleet.ownerOf(0)!;
  setDown([owner], true);
  expect(await appendWithin(owner, 'lost', 3_500)).toBe('unavailable');
  expect(owner.manager.mayAct(0)).toBe(false);
  await jest.advanceTimersByTimeAsync(4_000);
  const next = fleet.instances.find((instance) => instance !== owner && instance.owns(0))!;
  expect(await appendWithin(next, 'kept', 1_000)).toBe('durable');
  expect(next.states.get(0)!.records).toEqual(['kept']);
  await stop(fleet);
});

test('a new epoch waits until a majority of the witnesses have accepted it', async () => {
  const fleet = await startFour();
  const owner = fleet.ownerOf(0)!;
  const others = fleet.instances.filter((instance) => instance !== owner);
  const withoutStore = [owner, others[0]!, others[1]!];
  const withoutPeers = others[2]!;
  setDown(withoutStore, true);
  withoutPeers.isIsolated = true;
  expect(await appendWithin(owner, 'island', 8_000)).toBe('deferred');
  await jest.advanceTimersByTimeAsync(20_000);
  expect(withoutPeers.owns(0)).toBe(false);
  expect(owner.manager.mayAct(0)).toBe(true);
  setDown(withoutStore, false);
  withoutPeers.isIsolated = false;
  await jest.advanceTimersByTimeAsync(15_000);
  expect(fleet.ownerOf(0)!.states.get(0)!.records).toEqual(['island']);
  await stop(fleet);
});

test('a single instance stops acting when its lease expires', async () => {
  const fleet = new Fleet(1);
  const owner = fleet.start();
  await jest.advanceTimersByTimeAsync(5_000);
  setDown([owner], true);
  expect(await appendWithin(owner, 'lost', 3_500)).toBe('unavailable');
  expect(owner.manager.mayAct(0)).toBe(false);
  await stop(fleet);
});

test('after an outage the writes stay within the rate limit', async () => {
  const fleet = new Fleet(32, { fleetWritesPerSecond: 40 });
  for (let number = 0; number < 4; number += 1) fleet.start();
  await jest.advanceTimersByTimeAsync(20_000);
  setDown(fleet.instances, true);
  const appends = fleet.instances.flatMap((instance) =>
    [...instance.states.entries()]
      .filter(([partition]) => instance.owns(partition))
      .map(([, state]) => state.append('deferred')),
  );
  await jest.advanceTimersByTimeAsync(10_000);
  const results = await Promise.all(appends);
  expect(results.map((result) => result._unsafeUnwrap().durability)).toEqual(
    Array.from({ length: 32 }, () => 'deferred'),
  );
  const before = fleet.store.headHistory.length;
  setDown(fleet.instances, false);
  await jest.advanceTimersByTimeAsync(1_000);
  // The writes of one second, the burst of half a second, and a margin of 4.
  expect(fleet.store.headHistory.length - before).toBeLessThanOrEqual(60 + 4);
  await jest.advanceTimersByTimeAsync(5_000);
  expect(fleet.store.headHistory.length - before).toBeGreaterThanOrEqual(32);
  await stop(fleet);
});
