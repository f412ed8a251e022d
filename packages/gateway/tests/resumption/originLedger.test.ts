import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { PutRequest, StoreError } from '@limpetnotch/store';
import { Supervisor } from '@limpetnotch/supervision';
import { errAsync, okAsync } from 'neverthrow';
import type { BegunStream } from '../../src/resumption/begunStream';
import { OriginLedger } from '../../src/resumption/originLedger';
import { toOriginKey } from '../../src/resumption/storedOrigin';

const WINDOW_MILLISECONDS = 60_000;

let hasSeveral: boolean;
let goneForMilliseconds: number;
let instanceCount: number;
let failure: StoreError | undefined;
let leaseLengths: number[];
let batches: (readonly PutRequest[])[];
let ledger: OriginLedger;
let stopping: AbortController;

const stream = (index: number, change: Partial<BegunStream> = {}): BegunStream => ({
  streamKey: `/r${index}`,
  origin: { service: 's', version: 'v1' },
  remainingMilliseconds: 4_000,
  windowMilliseconds: WINDOW_MILLISECONDS,
  ...change,
});

const find = (key: string): PutRequest | undefined =>
  batches.flat().findLast((put) => put.key === key);

const record = (count: number, change: Partial<BegunStream> = {}): void =>
  Array.from({ length: count }, (_, index) => index).forEach((index) =>
    ledger.record(stream(index, change)),
  );

beforeEach(async () => {
  jest.useFakeTimers();
  hasSeveral = true;
  goneForMilliseconds = 0;
  instanceCount = 4;
  failure = undefined;
  leaseLengths = [];
  batches = [];
  const parts = { logger: silentLogger, metrics: new MemoryMetrics() };
  ledger = new OriginLedger({
    ...parts,
    store: {
      read: (key) => {
        const put = find(key);
        return failure ? errAsync(failure) : okAsync(put && { ...put, revision: 1 });
      },
      grantLease: (timeToLiveMilliseconds) => {
        leaseLengths.push(timeToLiveMilliseconds);
        return okAsync({ leaseId: String(leaseLengths.length), timeToLiveMilliseconds });
      },
      putAll: (puts) => {
        if (failure) return errAsync(failure);
        batches.push(puts);
        return okAsync(undefined);
      },
    },
    versions: {
      hasSeveral: (_service, milliseconds) => hasSeveral && milliseconds >= goneForMilliseconds,
    },
    instanceCount: () => instanceCount,
  });
  stopping = new AbortController();
  const supervisor = new Supervisor({ ...parts, name: 'test' });
  await supervisor.startChild(ledger.task);
  void supervisor.run(stopping.signal);
});

afterEach(() => {
  stopping.abort();
  jest.useRealTimers();
});

test('streams that begin together are written at once, and found', async () => {
  record(16);
  await jest.advanceTimersByTimeAsync(20);
  expect(batches).toHaveLength(1);
  expect(await ledger.find('/r0')).toEqual({ service: 's', version: 'v1' });
  expect(await ledger.find('/r16')).toBeUndefined();
});

test('writes after a pause follow each other at once, and then at intervals', async () => {
  const counts: number[] = [];
  for (let index = 0; index < 40; index += 1) {
    ledger.record(stream(index));
    await jest.advanceTimersByTimeAsync(25);
    counts.push(batches.length);
  }
  expect(counts[4]).toBeGreaterThanOrEqual(4);
  expect(counts[39]).toBeLessThanOrEqual(5 + 1_000 / 100);
});

test('nothing is written while one version serves', async () => {
  hasSeveral = false;
  record(50);
  await jest.advanceTimersByTimeAsync(3_000);
  expect([batches, leaseLengths]).toEqual([[], []]);
});

test('streams under way are written when a second version joins', async () => {
  hasSeveral = false;
  record(40);
  record(10, { remainingMilliseconds: 500 });
  await jest.advanceTimersByTimeAsync(1_000);
  hasSeveral = true;
  ledger.wake();
  await jest.advanceTimersByTimeAsync(300);
  // The first ten have ended.
  expect(batches.flat()).toHaveLength(30);
});

// The shortest window of a service was taken for that of all its streams.
test('a stream is written while a second version was seen within its own window', async () => {
  goneForMilliseconds = 2 * WINDOW_MILLISECONDS;
  ledger.record(stream(0));
  ledger.record(stream(1, { windowMilliseconds: 3 * WINDOW_MILLISECONDS }));
  await jest.advanceTimersByTimeAsync(1_000);
  expect(batches.flat().map(({ key }) => key)).toEqual([toOriginKey('/r1')]);
});

test('streams that may not go on are not written', async () => {
  record(1, { windowMilliseconds: undefined });
  record(1, { origin: { service: 's', version: undefined } });
  await jest.advanceTimersByTimeAsync(1_000);
  expect(batches).toEqual([]);
});

test('origins are written again once the store responds', async () => {
  failure = { kind: 'unavailable', detail: 'down' };
  record(3);
  await jest.advanceTimersByTimeAsync(1_200);
  expect(await ledger.find('/r0')).toBeUndefined();
  failure = undefined;
  await jest.advanceTimersByTimeAsync(500);
  expect(await ledger.find('/r2')).toEqual({ service: 's', version: 'v1' });
});

test('a lease is granted once a window, and lasts longer than the window', async () => {
  for (let second = 0; second < 150; second += 1) {
    ledger.record(stream(second));
    await jest.advanceTimersByTimeAsync(1_000);
  }
  expect(leaseLengths).toEqual(Array(3).fill(2 * WINDOW_MILLISECONDS));
});

test('a lease that has ended is replaced', async () => {
  record(1);
  await jest.advanceTimersByTimeAsync(300);
  failure = { kind: 'lease-ended', detail: 'no such lease' };
  record(2);
  await jest.advanceTimersByTimeAsync(30);
  failure = undefined;
  await jest.advanceTimersByTimeAsync(600);
  expect([leaseLengths.length, batches.length]).toEqual([2, 2]);
});

test('instances together write within the rate of the store', async () => {
  instanceCount = 390;
  for (let index = 0; index < 1_000; index += 1) {
    ledger.record(stream(index));
    await jest.advanceTimersByTimeAsync(10);
  }
  const writesPerSecond = (instanceCount * batches.length) / 10;
  // A burst of five writes each comes on top.
  expect(writesPerSecond - (5 * instanceCount) / 10).toBeLessThanOrEqual(100);
});
