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
  if (swapped.kind !== 'swapped') throw new Error('the key was there');
  return swapped.revision;
};

/** Reads until all reads of a batch succeed, as a failed one makes the client leave its connections. */
const openConnections = async (): Promise<void> => {
  const reads = await Promise.all(Array.from({ length: 50 }, () => store.read('a/1')));
  if (reads.some((read) => read.isErr())) await openConnections();
};

/** Collects changes, without progress, until a number of them came. */
const takeChanges = async (fromRevision: number, count: number): Promise<WatchEvent[]> => {
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

const failureOfWatch = async (fromRevision: number): Promise<WatchError> => {
  const watching = takeChanges(fromRevision, Infinity);
  return watching.then(
    () => {
      throw new Error('the watch ended quietly');
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

test('gives an unknown outcome for an answer lost after the effect', async () => {
  await standIn.setFaults({ loseAnswers: 1 });
  const lost = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'mine' });
  expect(errorOf(lost).kind).toBe('unknown-outcome');
  expect(valueOf(await store.read('a/1'))?.value).toBe('mine');
  expect(
    metrics.counter('store.errors', { kind: 'compare-and-swap', error: 'unknown-outcome' }),
  ).toBe(1);
});

test('gives an unknown outcome for a write that takes too long', async () => {
  await standIn.setFaults({ answerLatencyMilliseconds: 2_000 });
  const late = await store.compareAndSwap({ key: 'a/1', expectedRevision: 0, value: 'mine' });
  expect(errorOf(late).kind).toBe('unknown-outcome');
  expect(errorOf(await store.read('a/1')).kind).toBe('unavailable');
});

test('tells refusals from unknown outcomes', async () => {
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

test('uses new connections after old ones went silent', async () => {
  await create('a/1', 'first');
  await openConnections();
  standIn.server.silenceConnections();
  // A connection that the server had not yet accepted is not silent: not every read must fail.
  const reads = await Promise.all(Array.from({ length: 50 }, () => store.read('a/1')));
  const failed = reads.filter((read) => read.isErr());
  expect(new Set(failed.map((read) => errorOf(read).kind))).toEqual(new Set(['unavailable']));
  expect(valueOf(await store.read('a/1'))?.value).toBe('first');
});

test('moves to the next endpoint', async () => {
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
  const changes = await takeChanges(1, 2);
  expect(changes.map((change) => change.kind)).toEqual(['put', 'removed']);
});

test('resumes a watch without a gap', async () => {
  const first = await create('a/1', 'one');
  await create('b/1', 'other');
  const second = await create('a/2', 'two');
  const changes = await takeChanges(first, 2);
  expect(changes.map((change) => change.kind === 'put' && change.entry.revision)).toEqual([
    first,
    second,
  ]);
  expect(await takeChanges(first + 1, 1)).toEqual(changes.slice(1));
});

test('throws on a silent watch, and a new one works', async () => {
  const failure = failureOfWatch(1);
  while (standIn.statistics().waitingWatches === 0) await create(`b/${Math.random()}`, 'wait');
  standIn.server.silenceConnections();
  expect((await failure).kind).toBe('silent');
  await create('a/1', 'one');
  expect(await takeChanges(1, 1)).toHaveLength(1);
});

test('keeps a quiet watch by its progress', async () => {
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

test('a watch is not silent because the process stood still', async () => {
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
  const failure = failureOfWatch(1);
  while (standIn.statistics().waitingWatches === 0) await create(`b/${Math.random()}`, 'wait');
  standIn.server.breakConnections();
  expect((await failure).kind).toBe('lost');
});

test('tells that a revision was compacted', async () => {
  await create('a/1', 'one');
  await create('a/2', 'two');
  await standIn.setFaults({ compact: true });
  const failure = await failureOfWatch(1);
  expect(failure).toMatchObject({ kind: 'compacted', compactRevision: standIn.state.revision });
});
