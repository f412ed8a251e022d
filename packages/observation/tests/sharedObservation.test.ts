import { findStaleKeys } from './support/findStaleKeys';
import type { SimulatedInstance } from './support/simulatedFleet';
import { BOUND_MILLISECONDS, SimulatedFleet } from './support/simulatedFleet';

// Twenty instances that retry for 25 s take some seconds on a busy machine.
jest.setTimeout(60_000);

const zoneOf = (index: number): string => `zone-${index % 3}`;

let fleet = new SimulatedFleet();

beforeEach(() => {
  jest.useFakeTimers();
  fleet = new SimulatedFleet();
});

afterEach(async () => {
  fleet.instances.forEach(({ stopping }) => stopping.abort());
  await jest.advanceTimersByTimeAsync(5_000);
  jest.useRealTimers();
});

const startFleet = async (size: number, earlier = 0): Promise<readonly SimulatedInstance[]> => {
  fleet.store.write('op/config', '0');
  const instances = Array.from({ length: size }, (_value, index) =>
    fleet.start(`instance-${index}`, zoneOf(index), index >= earlier),
  );
  await jest.advanceTimersByTimeAsync(8_000);
  fleet.store.calls.clear();
  return instances;
};

const modesOf = (instances: readonly SimulatedInstance[]): readonly (string | undefined)[] =>
  instances.map(({ observation }) => observation?.mode);

const findStale = (instance: SimulatedInstance): readonly string[] =>
  findStaleKeys(fleet.store.commits, instance.known, BOUND_MILLISECONDS);

/** Changes the store for a while; returns how often an instance was found to be out of date. */
const countStale = async (
  instances: readonly SimulatedInstance[],
  milliseconds: number,
): Promise<number> => {
  let stale = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
    if (elapsed % 400 === 0) fleet.store.write('op/config', String(performance.now()));
    if (elapsed % 700 === 0) fleet.store.write('servers/t', String(performance.now()));
    await jest.advanceTimersByTimeAsync(100);
    stale += instances.filter((instance) => findStale(instance).length > 0).length;
  }
  return stale;
};

const readersOf = (instances: readonly SimulatedInstance[]): readonly SimulatedInstance[] =>
  instances.filter(({ observation }) => observation?.mode === 'reader');

const followersOf = (instances: readonly SimulatedInstance[]): readonly SimulatedInstance[] =>
  instances.filter(({ observation }) => observation?.mode === 'follower');

const sumCalls = (instances: readonly SimulatedInstance[]): number =>
  instances.reduce((sum, { name }) => sum + (fleet.store.calls.get(name) ?? 0), 0);

test('up to eight instances read for themselves', async () => {
  const instances = await startFleet(8);
  expect(new Set(modesOf(instances))).toEqual(new Set(['direct']));
  await jest.advanceTimersByTimeAsync(10_000);
  // Waits of 2.5 s for two prefixes and of 14.5 s for the third one, as before.
  expect(sumCalls(instances) / 8).toBeLessThanOrEqual(9);
});

test('in larger fleets two of each zone read, and the others make no calls', async () => {
  const instances = await startFleet(20);
  expect(readersOf(instances)).toHaveLength(6);
  expect(await countStale(instances, 10_000)).toBe(0);
  expect(sumCalls(followersOf(instances))).toBe(0);
  expect(followersOf(instances)).toHaveLength(14);
});

test('changes reach followers within the batch', async () => {
  const instances = await startFleet(20);
  fleet.store.write('op/config', 'new');
  await jest.advanceTimersByTimeAsync(300);
  instances.forEach(({ known }) => expect(known.get('op/config')?.value).toBe('new'));
});

// Loss of the store is no reason to act on old state while others can read it.
test.each(['silent', 'refused'] as const)(
  'an instance that the store does not serve goes on with the state of others (%s)',
  async (state) => {
    const instances = await startFleet(20);
    const [reader] = readersOf(instances);
    const [follower] = followersOf(instances);
    [reader!, follower!].forEach(({ name }) => fleet.setLink(name, 'store', state));
    await jest.advanceTimersByTimeAsync(BOUND_MILLISECONDS);
    expect(await countStale(instances, 15_000)).toBe(0);
  },
);

test('followers of a silent reader change to the next one, and the others notice nothing', async () => {
  const instances = await startFleet(20);
  const [reader] = readersOf(instances);
  const followers = followersOf(instances);
  instances.forEach(({ name }) => fleet.setLink(reader!.name, name, 'silent'));
  expect(await countStale(instances, 10_000)).toBe(0);
  // Its own followers, a sixth of all, may read until they trust the next one.
  const calling = followers.filter(({ name }) => fleet.store.calls.has(name));
  expect(calling.length).toBeLessThanOrEqual(4);
  fleet.store.calls.clear();
  expect(await countStale(instances, 10_000)).toBe(0);
  expect(sumCalls(followers)).toBe(0);
});

test('followers without any reader read the store, and stop when a reader is back', async () => {
  const instances = await startFleet(20);
  const readers = readersOf(instances);
  const followers = followersOf(instances);
  readers.forEach(({ name }) => fleet.setLink(name, 'store', 'silent'));
  expect(await countStale(followers, 8_000)).toBe(0);
  expect(new Set(modesOf(followers))).toEqual(new Set(['reader']));
  readers.forEach(({ name }) => fleet.setLink(name, 'store', 'up'));
  await jest.advanceTimersByTimeAsync(8_000);
  expect(new Set(modesOf(followers))).toEqual(new Set(['follower']));
});

test('after an outage of the store all are up to date again', async () => {
  const instances = await startFleet(20);
  instances.forEach(({ name }) => fleet.setLink(name, 'store', 'refused'));
  await jest.advanceTimersByTimeAsync(25_000);
  fleet.store.write('servers/t', undefined);
  instances.forEach(({ name }) => fleet.setLink(name, 'store', 'up'));
  await jest.advanceTimersByTimeAsync(BOUND_MILLISECONDS);
  expect(await countStale(instances, 8_000)).toBe(0);
  expect(followersOf(instances)).toHaveLength(14);
});

test('a reader that is removed is replaced', async () => {
  const instances = await startFleet(20);
  const [reader] = readersOf(instances);
  fleet.stop(reader!.name);
  const others = instances.filter((instance) => instance !== reader);
  expect(await countStale(others, 5_000)).toBe(0);
  fleet.expirePresence(reader!.name);
  expect(await countStale(others, 5_000)).toBe(0);
  expect(readersOf(others)).toHaveLength(6);
});

// Earlier versions neither relay nor follow; in a zone of them alone, others are followed.
test.each([3, 10, 17, 19])('%i of 20 instances of an earlier version', async (earlier) => {
  const instances = await startFleet(20, earlier);
  expect(await countStale(instances, 10_000)).toBe(0);
  const readers = readersOf(instances.slice(earlier));
  expect(readers.length).toBe(Math.min(6, 20 - earlier));
  expect(sumCalls(followersOf(instances))).toBe(0);
});

test('builds are replaced one by one, there and back', async () => {
  const instances = [...(await startFleet(12, 12))];
  for (const canRelay of [true, false]) {
    for (let index = 0; index < 12; index += 1) {
      fleet.stop(`instance-${index}`);
      const started = fleet.start(`instance-${index}`, zoneOf(index), canRelay);
      instances[index] = started;
      expect(
        await countStale(
          instances.filter((instance) => instance !== started),
          600,
        ),
      ).toBe(0);
    }
  }
});

test('a restarted follower continues with its readers', async () => {
  const instances = await startFleet(20);
  const [{ name } = { name: '' }] = followersOf(instances);
  fleet.stop(name);
  const started = fleet.start(name, 'zone-0');
  await jest.advanceTimersByTimeAsync(500);
  expect(started.observation?.mode).toBe('follower');
  expect(findStale(started)).toEqual([]);
  await jest.advanceTimersByTimeAsync(10_000);
  expect(fleet.store.calls.get(name)).toBeLessThanOrEqual(6);
});
