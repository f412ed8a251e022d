import { silentLogger } from '@limpetnotch/observability';
import type { Logger } from '@limpetnotch/observability';
import { TurnLog } from '../src/turnLog';
import { createTurn } from './support/createTurn';
import { UnreliableFiles } from './support/unreliableFiles';

const SEGMENT_BYTES = 300;

let files: UnreliableFiles;
let lines: string[];

const logger: Logger = {
  ...silentLogger,
  warn: (message) => lines.push(message),
  error: (message) => lines.push(message),
};

const open = async (): Promise<TurnLog> =>
  (await TurnLog.open({ files, logger, segmentBytes: SEGMENT_BYTES }))._unsafeUnwrap();

const append = async (log: TurnLog, ...ids: string[]): Promise<void> => {
  for (const id of ids) (await log.append(createTurn(id)))._unsafeUnwrap();
};

/** Returns the ids of the turns that the log returns with their own texts. */
const findReadable = async (log: TurnLog, ...ids: string[]): Promise<readonly string[]> => {
  const found: string[] = [];
  for (const id of ids) {
    const turn = (await log.read('north', id)).unwrapOr(undefined);
    if (turn && Buffer.from(turn.output).toString() === `output of ${id}`) found.push(id);
  }
  return found;
};

beforeEach(() => {
  files = new UnreliableFiles();
  lines = [];
});

test('a stored turn is read, also by the next process', async () => {
  const log = await open();
  await append(log, '1', '2');
  expect(await findReadable(log, '1', '2', '3')).toEqual(['1', '2']);
  expect(await findReadable(await open(), '1', '2', '3')).toEqual(['1', '2']);
  expect(lines).toEqual([]);
});

test('a turn of another organisation is not found', async () => {
  const log = await open();
  await append(log, '1');
  expect((await log.read('south', '1'))._unsafeUnwrap()).toBeUndefined();
});

test('turns that are pending at the same time share syncs', async () => {
  const log = await open();
  const ids = Array.from({ length: 20 }, (_one, index) => String(index));
  const results = await Promise.all(ids.map((id) => log.append(createTurn(id))));
  expect(results.every((result) => result.isOk())).toBe(true);
  expect(files.syncs).toBeLessThanOrEqual(2);
  expect(await findReadable(log, ...ids)).toEqual(ids);
});

test('a turn that is already stored is not written again', async () => {
  const log = await open();
  await append(log, '1');
  const { syncs } = files;
  await append(log, '1');
  expect(files.syncs).toBe(syncs);
});

test('a torn end loses only the torn record', async () => {
  const log = await open();
  await append(log, '1', '2');
  const [file] = files.stored.values();
  file!.bytes = file!.bytes.subarray(0, -5);
  const next = await open();
  expect(await findReadable(next, '1', '2')).toEqual(['1']);
  expect(lines).toEqual(['turn-log.bytes-lost']);
  await append(next, '3');
  expect(await findReadable(await open(), '1', '2', '3')).toEqual(['1', '3']);
});

test.each([
  ['text', 40],
  ['magic number', 0],
  ['length', 5],
  ['checksum', 9],
])('a damaged %s in the middle loses one turn', async (_name, offset) => {
  const log = await open();
  await append(log, '1', '2', '3');
  const [file] = files.stored.values();
  const second = file!.bytes.indexOf('ltr1', 1);
  file!.bytes[second + offset]! += 1;
  expect(await findReadable(await open(), '1', '2', '3')).toEqual(['1', '3']);
});

test('a damaged turn is distinguished from one that was never stored', async () => {
  const log = await open();
  await append(log, '1');
  const [file] = files.stored.values();
  file!.bytes[30]! += 1;
  expect((await log.read('north', '1'))._unsafeUnwrapErr().kind).toBe('damaged');
});

test('an unreadable segment loses only its own turns', async () => {
  const log = await open();
  await append(log, '1', '2', '3', '4', '5', '6');
  expect(log.segments).toBeGreaterThan(1);
  const readWhole = files.readAll.bind(files);
  files.readAll = (name) =>
    name.endsWith('1.log') ? Promise.reject(new Error('unreadable')) : readWhole(name);
  const next = await open();
  expect(await findReadable(next, '6')).toEqual(['6']);
  expect(lines).toEqual(['turn-log.segment-unreadable']);
});

test('segments are removed when all their turns have expired', async () => {
  const log = await open();
  await append(log, '1', '2', '3', '4', '5', '6');
  expect((await log.removeExpired(1_005_000))._unsafeUnwrap()).toBe(0);
  const removed = (await log.removeExpired(1_020_000))._unsafeUnwrap();
  expect(removed).toBeGreaterThan(0);
  // The active segment is kept.
  expect([await findReadable(log, '1', '6'), log.segments]).toEqual([['6'], 1]);
});

test('a full disk rejects a turn and keeps the others', async () => {
  const log = await open();
  const lasting = { expiresAtMilliseconds: Number.MAX_SAFE_INTEGER };
  await log.append(createTurn('1', lasting));
  await log.append(createTurn('2', lasting));
  files.capacityBytes = files.usedBytes + 10;
  const refused = await log.append(createTurn('3', lasting));
  expect(refused._unsafeUnwrapErr().kind).toBe('disk-full');
  expect(await findReadable(await open(), '1', '2', '3')).toEqual(['1', '2']);
  files.capacityBytes = Infinity;
  await append(log, '4');
  expect(await findReadable(log, '1', '2', '4')).toEqual(['1', '2', '4']);
});

test('on a full disk, expired segments are removed to free space', async () => {
  const log = await open();
  await append(log, '1', '2', '3', '4', '5', '6');
  files.capacityBytes = files.usedBytes;
  expect((await log.append(createTurn('7'))).isOk()).toBe(true);
  expect(await findReadable(log, '1', '7')).toEqual(['7']);
});

test('the remains of a failed write are removed as well', async () => {
  const log = await open();
  files.capacityBytes = 10;
  await log.append(createTurn('1'));
  files.capacityBytes = Infinity;
  await append(log, '2');
  expect([(await log.removeExpired(0))._unsafeUnwrap(), files.stored.size]).toEqual([1, 1]);
});

test('after a failed sync nothing is stored, and the next turn goes to another segment', async () => {
  const log = await open();
  await append(log, '1');
  files.failingSyncs = 1;
  expect((await log.append(createTurn('2')))._unsafeUnwrapErr().kind).toBe('disk-failed');
  expect(await findReadable(log, '1', '2')).toEqual(['1']);
  await append(log, '3');
  files.losePower(() => 0.99);
  expect(await findReadable(await open(), '1', '3')).toEqual(['1', '3']);
});

test('a closed log rejects turns, and has written the pending ones', async () => {
  const log = await open();
  const waiting = log.append(createTurn('1'));
  await log.close();
  expect((await waiting).isOk()).toBe(true);
  expect((await log.append(createTurn('2')))._unsafeUnwrapErr().kind).toBe('closed');
});

test('unrelated files are not removed', async () => {
  await files.create('notes.txt');
  await open();
  expect(await files.list()).toContain('notes.txt');
});

// Without this, the first turns of a long chain are removed while the chain is still continued.
test('a turn lives as long as the youngest turn that continues it', async () => {
  const log = await open();
  await append(log, '1', '2', '3');
  const child = { parentId: '1', expiresAtMilliseconds: 2_000_000 };
  await log.append(createTurn('4', child));
  await append(log, '5', '6', '7');
  await log.removeExpired(1_500_000);
  expect(await findReadable(log, '1', '4')).toEqual(['1', '4']);
  const next = await open();
  await next.removeExpired(1_500_000);
  expect(await findReadable(next, '1', '4')).toEqual(['1', '4']);
  const first = (await next.read('north', '1'))._unsafeUnwrap();
  expect(first?.expiresAtMilliseconds).toBe(2_000_000);
  await next.removeExpired(2_020_000);
  expect(await findReadable(next, '1', '4')).toEqual([]);
});

test('a parent that is stored after its child lives as long as the child', async () => {
  const log = await open();
  await log.append(createTurn('2', { parentId: '1', expiresAtMilliseconds: 2_000_000 }));
  expect(log.missingParents).toEqual([['north', '1']]);
  await append(log, '1', '3', '4', '5', '6');
  expect(log.missingParents).toEqual([]);
  await log.removeExpired(1_500_000);
  expect(await findReadable(log, '1', '2')).toEqual(['1', '2']);
});

test('a missing parent is forgotten once its descendants have expired', async () => {
  const log = await open();
  await log.append(createTurn('2', { parentId: '1' }));
  await append(log, '3', '4', '5', '6');
  await log.removeExpired(1_020_000);
  expect(log.missingParents).toEqual([]);
});

test('turns that name each other as parents are stored', async () => {
  const log = await open();
  await log.append(createTurn('1', { parentId: '2' }));
  await log.append(createTurn('2', { parentId: '1', expiresAtMilliseconds: 2_000_000 }));
  await log.append(createTurn('3', { parentId: '3' }));
  expect(await findReadable(log, '1', '2', '3')).toEqual(['1', '2', '3']);
});

test('turns are listed in pages, without those that have expired', async () => {
  const log = await open();
  await append(log, '1', '2');
  await log.append(createTurn('3', { expiresAtMilliseconds: 10 }));
  await append(log, '4');
  const [first, ...others] = log.listAfter(0, 500);
  expect(first).toMatchObject({ organisation: 'north', id: '1', program: 'program' });
  expect(others.map(({ id }) => id)).toEqual(['2', '4']);
  expect([...log.listAfter(others[0]!.ordinal, 500)].map(({ id }) => id)).toEqual(['4']);
});

test('a damaged turn is reported, and can be stored again', async () => {
  let reports = 0;
  const onDamage = (): void => {
    reports += 1;
  };
  const log = (await TurnLog.open({ files, logger, onDamage }))._unsafeUnwrap();
  await append(log, '1');
  files.stored.values().next().value!.bytes[30]! += 1;
  expect((await log.read('north', '1')).isErr()).toBe(true);
  expect([reports, log.hasLostRecords, log.has('north', '1')]).toEqual([1, true, false]);
  await append(log, '1');
  expect(await findReadable(log, '1')).toEqual(['1']);
});

test('bytes that were lost before a start are reported', async () => {
  const log = await open();
  await append(log, '1', '2');
  expect(log.hasLostRecords).toBe(false);
  const [file] = files.stored.values();
  file!.bytes[30]! += 1;
  expect((await open()).hasLostRecords).toBe(true);
});

// Otherwise an instance would distrust its whole log after each power loss.
test('a torn end does not count as a loss', async () => {
  const log = await open();
  await append(log, '1', '2');
  const [file] = files.stored.values();
  file!.bytes = file!.bytes.subarray(0, -5);
  expect((await open()).hasLostRecords).toBe(false);
});
