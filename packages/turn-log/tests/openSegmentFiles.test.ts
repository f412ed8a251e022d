import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { silentLogger } from '@limpetnotch/observability';
import { openSegmentFiles } from '../src/openSegmentFiles';
import { TurnLog } from '../src/turnLog';
import { createTurn } from './support/createTurn';

let directory: string;

beforeEach(async () => {
  directory = await mkdtemp(join(tmpdir(), 'turn-log-'));
});

afterEach(() => rm(directory, { recursive: true }));

const open = async (): Promise<TurnLog> => {
  const files = await openSegmentFiles(join(directory, 'turns'));
  return (await TurnLog.open({ files, logger: silentLogger }))._unsafeUnwrap();
};

test('turns on a real disk are read by the next process', async () => {
  const log = await open();
  (await log.append(createTurn('1')))._unsafeUnwrap();
  await log.close();
  const next = await open();
  expect((await next.read('north', '1'))._unsafeUnwrap()).toMatchObject({ id: '1' });
  await next.close();
});

test('expired turns are removed from the disk', async () => {
  const log = await open();
  (await log.append(createTurn('1')))._unsafeUnwrap();
  await log.close();
  const next = await open();
  expect((await next.removeExpired(2_000_000))._unsafeUnwrap()).toBe(1);
  expect((await next.read('north', '1'))._unsafeUnwrap()).toBeUndefined();
  await next.close();
  expect((await open()).segments).toBe(0);
});
