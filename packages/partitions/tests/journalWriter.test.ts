import { MemoryMetrics } from '@limpetnotch/observability';
import type { JsonValue, PartitionSettings } from '../src';
import { DEFAULT_PARTITION_SETTINGS } from '../src';
import { partKeys } from '../src/bulkText';
import { claimPartition } from '../src/claimPartition';
import type { JournalEnd } from '../src/journalWriter';
import { JournalWriter } from '../src/journalWriter';
import type { Member } from '../src/member';
import { headKey, parseHead } from '../src/partitionHead';
import type { RecoveredJournal } from '../src/recoverJournal';
import { recoverJournal } from '../src/recoverJournal';
import { WriteRateLimiter } from '../src/writeRateLimiter';
import { ClientFaults, connectClient, MemoryStore } from './support/memoryStore';
import { unwrap, unwrapError } from './support/unwrap';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const OWNER: Member = {
  instance: 'instance-0',
  incarnation: 'incarnation-0',
  peerAddress: '127.0.0.1:9000',
  availabilityZone: 'zone-a',
  leaving: false,
};

interface Opened {
  readonly store: MemoryStore;
  readonly faults: ClientFaults;
  readonly metrics: MemoryMetrics;
  readonly writer: JournalWriter;
  readonly ends: JournalEnd[];
  /** Appends a record and applies it once committed; resolves to whether it was committed. */
  append(record: JsonValue): Promise<boolean>;
}

const open = async (
  changes: Partial<PartitionSettings> = {},
  store = new MemoryStore(),
): Promise<Opened> => {
  const settings = { ...DEFAULT_PARTITION_SETTINGS, ...changes };
  const faults = new ClientFaults();
  const metrics = new MemoryMetrics();
  const client = connectClient(store, faults);
  const claimed = await claimPartition({
    store: client,
    partition: 0,
    claimer: OWNER,
    deadlineMilliseconds: settings.storeDeadlineMilliseconds,
    chooseWitnesses: () => [],
    mayReplace: () => true,
    onUnknownOutcome: () => undefined,
  });
  const { head, revision, witnesses } = unwrap(claimed);
  const state: JsonValue[] = [];
  const ends: JournalEnd[] = [];
  const writer = new JournalWriter({
    partition: 0,
    store: client,
    head,
    revision,
    witnesses,
    writeRateLimiter: new WriteRateLimiter(() => settings.fleetWritesPerSecond, 0),
    settings,
    metrics,
    deferredReplicator: { replicate: () => Promise.resolve(false), release: () => undefined },
    mayAct: () => true,
    snapshot: () => [...state],
    onEnd: (end) => ends.push(end),
  });
  void writer.run();
  const append = async (record: JsonValue): Promise<boolean> => {
    const result = await writer.append([record]);
    if (result.isOk()) state.push(record);
    return result.isOk();
  };
  return { store, faults, metrics, writer, ends, append };
};

const recover = async (store: MemoryStore): Promise<RecoveredJournal> => {
  const head = unwrap(parseHead(store.read(headKey(0))!.value));
  const access = {
    store: connectClient(store, new ClientFaults()),
    deadlineMilliseconds: 1_000,
    beforeWrite: () => Promise.resolve(),
  };
  return unwrap(await recoverJournal(access, head));
};

const allRecords = async (store: MemoryStore): Promise<readonly JsonValue[]> => {
  const { snapshot, records } = await recover(store);
  return [...((snapshot ?? []) as JsonValue[]), ...records];
};

test('waiting records share one commit', async () => {
  const { store, writer, metrics, append } = await open();
  const appends = Array.from({ length: 50 }, (_value, number) => append(number));
  await jest.advanceTimersByTimeAsync(100);
  expect(await Promise.all(appends)).not.toContain(false);
  expect(metrics.counter('journal.commits')).toBeLessThanOrEqual(2);
  expect(await allRecords(store)).toEqual(Array.from({ length: 50 }, (_value, number) => number));
  writer.stop({ kind: 'released' });
});

test('a lost response neither loses nor repeats a record', async () => {
  const { store, faults, writer, metrics, append } = await open();
  faults.lostAnswers = 1;
  const first = append('first');
  await jest.advanceTimersByTimeAsync(1_000);
  const second = append('second');
  await jest.advanceTimersByTimeAsync(1_000);
  expect(await Promise.all([first, second])).toEqual([true, true]);
  expect(metrics.counter('journal.unknown-outcomes')).toBe(1);
  expect(await allRecords(store)).toEqual(['first', 'second']);
  writer.stop({ kind: 'released' });
});

test('a write that takes effect after its deadline is recognised', async () => {
  const { store, faults, writer, append } = await open();
  faults.latencyMilliseconds = 1_500;
  const first = append('first');
  await jest.advanceTimersByTimeAsync(1_100);
  faults.latencyMilliseconds = 0;
  await jest.advanceTimersByTimeAsync(2_000);
  expect(await first).toBe(true);
  expect(await allRecords(store)).toEqual(['first']);
  expect(store.headHistory).toHaveLength(2);
  writer.stop({ kind: 'released' });
});

test('a write that arrives after an unchanged key was read is recognised', async () => {
  const { store, faults, writer, ends, append } = await open();
  faults.latencyMilliseconds = 1_050;
  const first = append('first');
  await jest.advanceTimersByTimeAsync(900);
  faults.latencyMilliseconds = 0;
  await jest.advanceTimersByTimeAsync(2_000);
  expect(await first).toBe(true);
  expect(ends).toEqual([]);
  expect(await allRecords(store)).toEqual(['first']);
  writer.stop({ kind: 'released' });
});

test('an append that is refused is never committed', async () => {
  const { store, faults, writer, append } = await open();
  faults.isDown = true;
  const refused = append('refused');
  await jest.advanceTimersByTimeAsync(6_000);
  expect(await refused).toBe(false);
  faults.isDown = false;
  const taken = append('taken');
  await jest.advanceTimersByTimeAsync(1_000);
  expect(await taken).toBe(true);
  expect(await allRecords(store)).toEqual(['taken']);
  writer.stop({ kind: 'released' });
});

test('an append of unknown outcome ends the epoch once its deadline has passed', async () => {
  const { faults, ends, append } = await open();
  faults.lostAnswers = 1;
  faults.isDownAfterLoss = true;
  const appended = append('unknown');
  await jest.advanceTimersByTimeAsync(7_000);
  expect(await appended).toBe(false);
  expect(ends).toEqual([{ kind: 'unresolved' }]);
});

test('records that exceed the size limit of the head move to segments and a snapshot', async () => {
  const { store, writer, metrics, append } = await open({
    inlineBytes: 100,
    segmentsBeforeSnapshot: 3,
  });
  const records = Array.from({ length: 60 }, (_value, number) => `record ${number} \u{1f600}`);
  for (const record of records) {
    const appended = append(record);
    await jest.advanceTimersByTimeAsync(50);
    expect(await appended).toBe(true);
  }
  expect(metrics.counter('journal.snapshots')).toBeGreaterThan(1);
  expect(await allRecords(store)).toEqual(records);
  const head = parseHead(store.read(headKey(0))!.value)._unsafeUnwrap();
  const referenced = [head.snapshot!, ...head.segments].flatMap(partKeys);
  const texts = [...store.entries.keys()].filter((key) => /^(segments|snapshots)\//.test(key));
  expect(texts.sort()).toEqual([...referenced].sort());
  writer.stop({ kind: 'released' });
});

test('a record larger than one value of the store is stored completely', async () => {
  const { store, writer, append } = await open();
  const large = '\u{1f600}x'.repeat(400_000);
  const appended = append(large);
  await jest.advanceTimersByTimeAsync(2_000);
  expect(await appended).toBe(true);
  expect(await allRecords(store)).toEqual([large]);
  const longest = Math.max(
    ...[...store.entries.values()].map(({ value }) => Buffer.byteLength(value)),
  );
  expect(longest).toBeLessThan(512 * 1_024);
  writer.stop({ kind: 'released' });
});

test('another commit of the same epoch stops the partition', async () => {
  const { store, ends, writer, append } = await open();
  const current = store.read(headKey(0))!;
  const forged = current.value.replace(/"commitId":"[^"]+"/, '"commitId":"another"');
  store.swap({ key: headKey(0), expectedRevision: current.revision, value: forged });
  const appended = append('late');
  await jest.advanceTimersByTimeAsync(500);
  expect(await appended).toBe(false);
  expect(ends).toMatchObject([{ kind: 'assertion-failed' }]);
  expect(writer.epoch).toBe(1);
});

test('a handover commits the waiting records and accepts no more', async () => {
  const { store, writer, append } = await open();
  const appended = append('last');
  const handedOver = writer.handOver();
  const late = append('late');
  await jest.advanceTimersByTimeAsync(500);
  expect(await Promise.all([appended, handedOver, late])).toEqual([true, true, false]);
  expect(unwrap(parseHead(store.read(headKey(0))!.value)).handedOver).toBe(true);
  expect(await allRecords(store)).toEqual(['last']);
});

test('an append that is too large is refused with both sizes', async () => {
  const { writer } = await open({ appendBytes: 10 });
  const result = await writer.append(['a long record']);
  expect(unwrapError(result)).toMatchObject({
    kind: 'unavailable',
    detail: 'an append of 15 bytes exceeds 10',
  });
  writer.stop({ kind: 'released' });
});
