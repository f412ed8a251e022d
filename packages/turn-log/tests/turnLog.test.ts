import { silentLogger } from '@limpetnotch/observability';
import type { Logger } from '@limpetnotch/observability';
import { TurnLog } from '../src/turnLog';
import { turnOf } from './support/turn';
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
  for (const id of ids) (await log.append(turnOf(id)))._unsafeUnwrap();
};

/** Returns which of some turns a log holds with their own texts. */
const held = async (log: TurnLog, ...ids: string[]): Promise<readonly string[]> => {
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

test('a turn that was kept is read, also by the next process', async () => {
  const log = await open();
  await append(log, '1', '2');
  expect(await held(log, '1', '2', '3')).toEqual(['1', '2']);
  expect(await held(await open(), '1', '2', '3')).toEqual(['1', '2']);
  expect(lines).toEqual([]);
});

test('a turn of another organisation is not found', async () => {
  const log = await open();
  await append(log, '1');
  expect((await log.read('south', '1'))._unsafeUnwrap()).toBeUndefined();
});

test('turns that wait at the same time share syncs', async () => {
  const log = await open();
  const ids = Array.from({ length: 20 }, (_one, index) => String(index));
  const results = await Promise.all(ids.map((id) => log.append(turnOf(id))));
  expect(results.every((result) => result.isOk())).toBe(true);
  expect(files.syncs).toBeLessThanOrEqual(2);
  expect(await held(log, ...ids)).toEqual(ids);
});

test('a turn that is kept already is not written again', async () => {
  const log = await open();
  await append(log, '1');
  const { syncs } = files;
  await append(log, '1');
  expect(files.syncs).toBe(syncs);
});

test('a torn end costs only what it tore', async () => {
  const log = await open();
  await append(log, '1', '2');
  const [file] = files.stored.values();
  file!.bytes = file!.bytes.subarray(0, -5);
  const next = await open();
  expect(await held(next, '1', '2')).toEqual(['1']);
  expect(lines).toEqual(['turn-log.bytes-lost']);
  await append(next, '3');
  expect(await held(await open(), '1', '2', '3')).toEqual(['1', '3']);
});

test.each([
  ['text', 40],
  ['mark', 0],
  ['length', 5],
  ['checksum', 9],
])('a damaged %s in the middle costs one turn', async (_name, offset) => {
  const log = await open();
  await append(log, '1', '2', '3');
  const [file] = files.stored.values();
  const second = file!.bytes.indexOf('ltr1', 1);
  file!.bytes[second + offset]! += 1;
  expect(await held(await open(), '1', '2', '3')).toEqual(['1', '3']);
});

test('a turn that is damaged after it was kept is told from one that never was', async () => {
  const log = await open();
  await append(log, '1');
  const [file] = files.stored.values();
  file!.bytes[30]! += 1;
  expect((await log.read('north', '1'))._unsafeUnwrapErr().kind).toBe('damaged');
});

test('a segment that can not be read costs only its own turns', async () => {
  const log = await open();
  await append(log, '1', '2', '3', '4', '5', '6');
  expect(log.segments).toBeGreaterThan(1);
  const readWhole = files.readWhole.bind(files);
  files.readWhole = (name) =>
    name.endsWith('1.log') ? Promise.reject(new Error('unreadable')) : readWhole(name);
  const next = await open();
  expect(await held(next, '6')).toEqual(['6']);
  expect(lines).toEqual(['turn-log.segment-unreadable']);
});

test('segments go when all their turns have expired', async () => {
  const log = await open();
  await append(log, '1', '2', '3', '4', '5', '6');
  expect((await log.removeExpired(1_005_000))._unsafeUnwrap()).toBe(0);
  const removed = (await log.removeExpired(1_020_000))._unsafeUnwrap();
  expect(removed).toBeGreaterThan(0);
  // The segment that is written stays.
  expect([await held(log, '1', '6'), log.segments]).toEqual([['6'], 1]);
});

test('a full disk refuses a turn and keeps the others', async () => {
  const log = await open();
  const lasting = { expiresAtMilliseconds: Number.MAX_SAFE_INTEGER };
  await log.append(turnOf('1', lasting));
  await log.append(turnOf('2', lasting));
  files.capacityBytes = files.usedBytes + 10;
  const refused = await log.append(turnOf('3', lasting));
  expect(refused._unsafeUnwrapErr().kind).toBe('disk-full');
  expect(await held(await open(), '1', '2', '3')).toEqual(['1', '2']);
  files.capacityBytes = Infinity;
  await append(log, '4');
  expect(await held(log, '1', '2', '4')).toEqual(['1', '2', '4']);
});

test('a full disk makes room from segments that have expired', async () => {
  const log = await open();
  await append(log, '1', '2', '3', '4', '5', '6');
  files.capacityBytes = files.usedBytes;
  expect((await log.append(turnOf('7'))).isOk()).toBe(true);
  expect(await held(log, '1', '7')).toEqual(['7']);
});

test('what a failed write left behind goes as well', async () => {
  const log = await open();
  files.capacityBytes = 10;
  await log.append(turnOf('1'));
  files.capacityBytes = Infinity;
  await append(log, '2');
  expect([(await log.removeExpired(0))._unsafeUnwrap(), files.stored.size]).toEqual([1, 1]);
});

test('a sync that fails keeps nothing, and the next turn goes to another segment', async () => {
  const log = await open();
  await append(log, '1');
  files.failingSyncs = 1;
  expect((await log.append(turnOf('2')))._unsafeUnwrapErr().kind).toBe('disk-failed');
  expect(await held(log, '1', '2')).toEqual(['1']);
  await append(log, '3');
  files.losePower(() => 0.99);
  expect(await held(await open(), '1', '3')).toEqual(['1', '3']);
});

test('a closed log takes nothing, and has written what waited', async () => {
  const log = await open();
  const waiting = log.append(turnOf('1'));
  await log.close();
  expect((await waiting).isOk()).toBe(true);
  expect((await log.append(turnOf('2')))._unsafeUnwrapErr().kind).toBe('closed');
});

test('files of others are left alone', async () => {
  await files.create('notes.txt');
  await open();
  expect(await files.list()).toContain('notes.txt');
});
