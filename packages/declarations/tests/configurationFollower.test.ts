import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { errAsync, okAsync } from 'neverthrow';
import { ConfigurationFollower, ConfigurationPublisher, ROOT_KEY } from '../src';
import type { PeerConfigurationSource } from '../src';
import { createExampleSet } from './createExampleSet';
import { MemoryStore } from './memoryStore';

const APPLY_DEADLINE_MILLISECONDS = 3_000;

let controller = new AbortController();

interface RunningFollower {
  readonly follower: ConfigurationFollower;
  readonly metrics: MemoryMetrics;
  readonly ready: jest.Mock;
}

const startFollower = async (
  store: MemoryStore,
  peers?: PeerConfigurationSource,
): Promise<RunningFollower> => {
  const metrics = new MemoryMetrics();
  const follower = new ConfigurationFollower({ store, logger: silentLogger, metrics, peers });
  const ready = jest.fn();
  void follower.run({ signal: controller.signal, ready });
  await jest.advanceTimersByTimeAsync(1);
  return { follower, metrics, ready };
};

const publishSet = async (store: MemoryStore, weight: number): Promise<void> => {
  const request = { configuration: createExampleSet(weight), author: 'rana' };
  (await new ConfigurationPublisher(store).publish(request))._unsafeUnwrap();
};

const getWeight = (follower: ConfigurationFollower): number | undefined =>
  follower.current().organisations.get('amman')?.weight;

beforeEach(() => {
  jest.useFakeTimers();
  controller = new AbortController();
});
afterEach(async () => {
  controller.abort();
  await jest.advanceTimersByTimeAsync(1);
  jest.useRealTimers();
});

test('is ready without a configuration and applies the first and the next from the watch', async () => {
  const store = new MemoryStore();
  const { follower, ready } = await startFollower(store);
  const revisions: string[] = [];
  follower.onChange((now, previous) =>
    revisions.push(`${now.revision} after ${previous.revision}`),
  );
  expect(ready).toHaveBeenCalled();
  expect(follower.current().revision).toBe(0);
  await publishSet(store, 1);
  await publishSet(store, 2);
  await jest.advanceTimersByTimeAsync(10);
  expect(getWeight(follower)).toBe(2);
  expect(revisions).toEqual(['1 after 0', '2 after 1']);
});

test('reads only changed chunks', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower } = await startFollower(store);
  store.silentWatches = true;
  await publishSet(store, 2);
  const readsBefore = store.calls.reads;
  follower.reportPeerRevision(2);
  await jest.advanceTimersByTimeAsync(10);
  // The root, the index and the chunk of organisations.
  expect(store.calls.reads - readsBefore).toBe(3);
});

test('a silent watch delays a change by less than 3 s', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower, metrics } = await startFollower(store);
  store.silentWatches = true;
  await publishSet(store, 2);
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
  expect(getWeight(follower)).toBe(2);
  expect(metrics.counter('configuration.silent-watches')).toBe(1);
});

test('a silent watch and one silent read delay a change by less than 3 s', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower } = await startFollower(store);
  store.silentWatches = true;
  await publishSet(store, 2);
  store.silentReads = true;
  await jest.advanceTimersByTimeAsync(1_500);
  store.silentReads = false;
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS - 1_500);
  expect(getWeight(follower)).toBe(2);
});

test('applies a later revision reported by a peer at once', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower } = await startFollower(store);
  store.silentWatches = true;
  await publishSet(store, 2);
  follower.reportPeerRevision(2);
  await jest.advanceTimersByTimeAsync(100);
  expect(getWeight(follower)).toBe(2);
});

test('a false revision reported by a peer causes few reads', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower } = await startFollower(store);
  const readsBefore = store.calls.reads;
  for (let heartbeat = 0; heartbeat < 1_000; heartbeat += 1) {
    follower.reportPeerRevision(1_000);
    await jest.advanceTimersByTimeAsync(1);
  }
  expect(store.calls.reads - readsBefore).toBeLessThanOrEqual(21);
});

test('keeps the configuration during an outage and applies a newer one after it', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower } = await startFollower(store);
  store.outage = true;
  await jest.advanceTimersByTimeAsync(60_000);
  expect(getWeight(follower)).toBe(1);
  expect(performance.now() - (follower.lastConfirmedMilliseconds() ?? 0)).toBeGreaterThan(59_000);
  store.outage = false;
  await publishSet(store, 2);
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
  expect(getWeight(follower)).toBe(2);
  expect(performance.now() - (follower.lastConfirmedMilliseconds() ?? 0)).toBeLessThan(2_100);
});

test.each([
  ['a corrupt root', 'not json'],
  ['a newer format', '{"formatVersion":99}'],
  ['a root with missing values', undefined],
])('%s leaves the last configuration in force', async (_name, value) => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const { follower, metrics } = await startFollower(store);
  const root = JSON.parse(store.entries.get(ROOT_KEY)!.value) as object;
  const missing = { ...root, revision: 2, publishId: 'x', index: '0'.repeat(64) };
  store.put(ROOT_KEY, value ?? JSON.stringify(missing));
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
  expect(getWeight(follower)).toBe(1);
  const reasons = ['corrupt', 'newer-format', 'missing-value'];
  const refusals = reasons.map((reason) => metrics.counter('configuration.refused', { reason }));
  expect(Math.max(...refusals)).toBeGreaterThan(0);
});

test('never applies a lower revision', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const old = store.entries.get(ROOT_KEY)!.value;
  await publishSet(store, 2);
  const { follower, metrics } = await startFollower(store);
  store.put(ROOT_KEY, old);
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
  expect(getWeight(follower)).toBe(2);
  expect(metrics.counter('configuration.refused', { reason: 'lower-revision' })).toBeGreaterThan(0);
});

test('a restarted instance reads the configuration from a peer during an outage', async () => {
  const store = new MemoryStore();
  await publishSet(store, 3);
  const { follower: peer } = await startFollower(store);
  store.outage = true;
  const source: PeerConfigurationSource = {
    readRoot: () => okAsync(peer.rootValue()),
    readValue: (digest) => okAsync(peer.findValue(digest)),
  };
  const { follower, ready } = await startFollower(store, source);
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
  expect(getWeight(follower)).toBe(3);
  expect(ready).toHaveBeenCalled();
  expect(follower.lastConfirmedMilliseconds()).toBeUndefined();
});

test('rejects values of a peer that do not match their digests', async () => {
  const store = new MemoryStore();
  await publishSet(store, 3);
  const root = store.entries.get(ROOT_KEY)!.value;
  store.outage = true;
  const source: PeerConfigurationSource = {
    readRoot: () => okAsync(root),
    readValue: () => okAsync('{"formatVersion":1,"chunks":[]}'),
  };
  const { follower } = await startFollower(store, source);
  await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
  expect(follower.current().revision).toBe(0);
  const unreachable = {
    readRoot: () => errAsync({ kind: 'source-unreachable' as const, detail: '' }),
  };
  const { ready } = await startFollower(store, { ...source, ...unreachable });
  expect(ready).not.toHaveBeenCalled();
});

test('a failing listener does not prevent others from being notified', async () => {
  const store = new MemoryStore();
  const { follower, metrics } = await startFollower(store);
  const listener = jest.fn();
  follower.onChange(() => {
    throw new Error('broken');
  });
  follower.onChange(listener);
  await publishSet(store, 1);
  await jest.advanceTimersByTimeAsync(10);
  expect(listener).toHaveBeenCalledTimes(1);
  expect(metrics.counter('configuration.listener-failures')).toBe(1);
});
