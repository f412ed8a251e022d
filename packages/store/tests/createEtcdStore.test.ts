import { MemoryMetrics } from '@limpetnotch/observability';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import { createEtcdStore, WatchError } from '../src';
import type { KeyValueStore, WatchEvent } from '../src';
import { errorOf, valueOf } from './unwrap';

let standIn: StoreStandIn;
let store: KeyValueStore;
let metrics: MemoryMetrics;

beforeEach(async () => {
  standIn = new StoreStandIn({ progressMilliseconds: 50 });
  await standIn.start();
  metrics = new MemoryMetrics();
  store = createEtcdStore({
    endpoints: [standIn.server.address],
    requestTimeoutMilliseconds: 300,
    watchSilenceMilliseconds: 300,
    metrics,
  });
});

afterEach(async () => {
  await store.close();
  await standIn.stop();
});

const create = async (key: string, value: string): Promise<number> => {
  const outcome = await store.compareAndSwap({ key, expectedRevision: 0, value });
  const swapped = valueOf(outcome);
  if (swapped.kind !== 'swapped') throw new Error('the key already exists');
  return swapped.revision;
};

/** Reads until a batch has no failed read, since a failed read makes the client close its connections. */
const openConnections = async (): Promise<void> => {
  const reads = await Promise.all(Array.from({ length: 50 }, () => store.read('a/1')));
  if (reads.some((read) => read.isErr())) await openConnections();
};

/** Collects a number of changes, without progress events. */
const collectChanges = async (fromRevision: number, count: number): Promise<WatchEvent[]> => {
  const controller = new AbortController();
  const events: WatchEvent[] = [];
  for await (const event of store.watch({
    prefix: 'a/',
    fromRevision,
    signal: controller.signal,
  })) {
    if (event.kind !== 'progress') events.push(event);
    if (events.length === count) controller.abort();
  }
  return events;
};

const captureWatchError = async (fromRevision: number): Promise<WatchError> => {
  const watching = collectChanges(fromRevision, Infinity);
  return watching.then(
    () => {
      throw new Error('the watch ended without an error');
    },
    (error: unknown) => {
      if (error instanceof WatchError) return error;
      throw error;
    },
  );
};

test('swaps only at the expected revision', async () => {
  const revision = await create('a/1', 'first');
  const stale = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'x' });
  expect(valueOf(stale)).toEqual({
    kind: 'conflict',
    current: { key: 'a/1', value: 'first', revision },
  });
  const swap = await store.compareAndSwap({ key: 'a/1', expectedRevision: revision, value: 'é' });
  expect(valueOf(swap).kind).toBe('swapped');
  expect(valueOf(await store.read('a/1'))?.value).toBe('é');
});

test('removes only at the expected revision', async () => {
  const revision = await create('a/1', 'first');
  expect(valueOf(await store.remove('a/1', revision + 1))).toBe(false);
  expect(valueOf(await store.remove('a/1', revision))).toBe(true);
  expect(valueOf(await store.read('a/1'))).toBeUndefined();
});

test('lists a prefix in order', async () => {
  await create('b/1', 'other');
  await create('a/2', 'two');
  await create('a/1', 'one');
  const listing = valueOf(await store.list('a/'));
  expect(listing.entries.map((entry) => entry.value)).toEqual(['one', 'two']);
  expect(listing.revision).toBe(standIn.state.revision);
});

test('reports an unknown outcome if the response is lost after the effect', async () => {
  await standIn.setFaults({ loseAnswers: 1 });
  const lost = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'mine' });
  expect(errorOf(lost).kind).toBe('unknown-outcome');
  expect(valueOf(await store.read('a/1'))?.value).toBe('mine');
  expect(
    metrics.counter('store.errors', { kind: 'compare-and-swap', error: 'unknown-outcome' }),
  ).toBe(1);
});

test('reports an unknown outcome for a write that times out', async () => {
  await standIn.setFaults({ answerLatencyMilliseconds: 2_000 });
  const late = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'mine' });
  expect(errorOf(late).kind).toBe('unknown-outcome');
  expect(errorOf(await store.read('a/1')).kind).toBe('unavailable');
});

test('distinguishes rejections from unknown outcomes', async () => {
  await standIn.setFaults({ outage: 'unavailable' });
  const write = { key: 'a/1', expectedRevision: 0, value: 'x' };
  expect(errorOf(await store.compareAndSwap(write)).kind).toBe('unavailable');
  await standIn.setFaults({ outage: 'refused' });
  expect(errorOf(await store.read('a/1')).kind).toBe('unavailable');
  expect(errorOf(await store.compareAndSwap(write)).kind).toBe('unavailable');
  await standIn.setFaults({ outage: 'none', writesPerSecond: 0.5 });
  expect(errorOf(await store.compareAndSwap(write)).kind).toBe('rate-limited');
  expect(standIn.state.revision).toBe(1);
});

test('opens new connections after the old ones became unresponsive', async () => {
  await create('a/1', 'first');
  await openConnections();
  standIn.server.silenceConnections();
  // A connection that was not yet accepted is not silenced, so some reads may succeed.
  const reads = await Promise.all(Array.from({ length: 50 }, () => store.read('a/1')));
  const failed = reads.filter((read) => read.isErr());
  expect(new Set(failed.map((read) => errorOf(read).kind))).toEqual(new Set(['unavailable']));
  expect(valueOf(await store.read('a/1'))?.value).toBe('first');
});

test('switches to the next endpoint after a failure', async () => {
  const other = createEtcdStore({ endpoints: ['http://127.0.0.1:1', standIn.server.address] });
  expect(errorOf(await other.read('a/1')).kind).toBe('unavailable');
  expect((await other.read('a/1')).isOk()).toBe(true);
  await other.close();
});

test('removes keys with their lease', async () => {
  const { leaseId } = valueOf(await store.grantLease(10_000));
  await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'held', leaseId });
  expect(valueOf(await store.renewLease(leaseId)).timeToLiveMilliseconds).toBe(10_000);
  valueOf(await store.revokeLease(leaseId));
  expect(valueOf(await store.read('a/1'))).toBeUndefined();
  expect(errorOf(await store.renewLease(leaseId)).kind).toBe('lease-ended');
  const orphan = { key: 'a/2', expectedRevision: 0, value: 'x', leaseId };
  expect(errorOf(await store.compareAndSwap(orphan)).kind).toBe('lease-ended');
});

test('expires a lease that is not renewed', async () => {
  const { leaseId } = valueOf(await store.grantLease(1_000));
  await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'held', leaseId });
  const changes = await collectChanges(1, 2);
  expect(changes.map((change) => change.kind)).toEqual(['put', 'removed']);
});

test('resumes a watch without a gap', async () => {
  const first = await create('a/1', 'one');
  await create('b/1', 'other');
  const second = await create('a/2', 'two');
  const changes = await collectChanges(first, 2);
  expect(changes.map((change) => change.kind === 'put' && change.entry.revision)).toEqual([
    first,
    second,
  ]);
  expect(await collectChanges(first + 1, 1)).toEqual(changes.slice(1));
});

test('throws on a silent watch, and a new watch works', async () => {
  const failure = captureWatchError(1);
  while (standIn.statistics().waitingWatches === 0) await create(`b/${Math.random()}`, 'wait');
  standIn.server.silenceConnections();
  expect((await failure).kind).toBe('silent');
  await create('a/1', 'one');
  expect(await collectChanges(1, 1)).toHaveLength(1);
});

test('keeps a watch without changes open by its progress events', async () => {
  const controller = new AbortController();
  let reports = 0;
  for await (const event of store.watch({
    prefix: 'a/',
    fromRevision: 1,
    signal: controller.signal,
  })) {
    if (event.kind === 'progress') reports += 1;
    if (reports === 10) controller.abort();
  }
  expect(reports).toBe(10);
});

test('a pause of the process does not make a watch silent', async () => {
  const controller = new AbortController();
  let reports = 0;
  for await (const event of store.watch({
    prefix: 'a/',
    fromRevision: 1,
    signal: controller.signal,
  })) {
    if (event.kind === 'progress') reports += 1;
    if (reports === 3) {
      setTimeout(() => {
        const until = performance.now() + 400;
        while (performance.now() < until);
      }, 10);
    }
    if (reports === 6) controller.abort();
  }
  expect(reports).toBe(6);
});

test('throws on a broken watch', async () => {
  const failure = captureWatchError(1);
  while (standIn.statistics().waitingWatches === 0) await create(`b/${Math.random()}`, 'wait');
  standIn.server.breakConnections();
  expect((await failure).kind).toBe('lost');
});

test('reports that a revision was compacted', async () => {
  await create('a/1', 'one');
  await create('a/2', 'two');
  await standIn.setFaults({ compact: true });
  const failure = await captureWatchError(1);
  expect(failure).toMatchObject({ kind: 'compacted', compactRevision: standIn.state.revision });
});
