import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Turn } from '@limpetnotch/peer-protocol';
import { rankHolders } from '../../src/decisions/rankHolders';
import { RetainedTurns } from '../../src/entry/retainedTurns';
import { StorageDirectory } from '../../src/entry/storageDirectory';
import { createTurn as createAnyTurn } from '../support/createTurn';
import { FakeStorage } from '../support/fakeStorage';

const KEY = { organisation: 'north', program: 'p1' };

/** Creates a turn of the program of these tests. */
const createTurn = (id: string, parentId = ''): Turn =>
  createAnyTurn(id, { parentId, program: KEY.program });

/** Longer than any test takes. */
const DEADLINE_MILLISECONDS = 3_000;

let storages: FakeStorage[];
let directory: StorageDirectory;
let opened: RetainedTurns[];
let isListCurrent: boolean;

/** Starts storage instances, the first in availability zone a, the next in b, then c, then a. */
const startStorages = async (count: number): Promise<void> => {
  const names = [...Array(count).keys()].map((index) => `s${index}`);
  storages = await Promise.all(
    names.map((name, index) => FakeStorage.start(name, 'abc'[index % 3] ?? 'a')),
  );
  directory = new StorageDirectory({ logger: silentLogger });
  directory.replaceAll(storages.map(({ entry }) => entry));
};

/** Opens the turns as a new instance does, without anything cached. */
const openTurns = (losses = 1, zones = 0): RetainedTurns => {
  const turns = new RetainedTurns({
    directory,
    toleratedLosses: { instances: losses, availabilityZones: zones },
    isListCurrent: () => isListCurrent,
    cacheBytes: 100_000,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  opened.push(turns);
  return turns;
};

/** Storage instances in the order in which they are asked. */
const ranked = (): FakeStorage[] =>
  rankHolders(KEY, directory.known).map(({ name }) => storages.find((one) => one.name === name)!);

const keep = async (turns: RetainedTurns, id: string, parentId = ''): Promise<boolean> =>
  (await turns.keep(createTurn(id, parentId), DEADLINE_MILLISECONDS)).isOk();

const read = async (turns: RetainedTurns, id: string, organisation = 'north'): Promise<unknown> => {
  const reading = await turns.readChain({ organisation, id, program: 'p1' });
  return reading.kind === 'found' ? reading.turns.map((turn) => turn.id) : reading.kind;
};

const holdersOf = (id: string): string[] =>
  storages.filter(({ turns }) => turns.has(`north/${id}`)).map(({ name }) => name);

beforeEach(() => {
  opened = [];
  isListCurrent = true;
});

afterEach(() => {
  opened.forEach((turns) => turns.close());
  storages.forEach((storage) => storage.close());
});

test('a turn is stored once more often than instances may be lost, in different zones', async () => {
  await startStorages(6);
  expect(await keep(openTurns(2), 't1')).toBe(true);
  expect(holdersOf('t1')).toHaveLength(3);
  expect(new Set(holdersOf('t1').map((name) => Number(name.slice(1)) % 3)).size).toBe(3);
});

test('another instance reads the chain, oldest first', async () => {
  await startStorages(3);
  const turns = openTurns();
  await keep(turns, 't1');
  await keep(turns, 't2', 't1');
  await keep(turns, 't3', 't2');
  expect(await read(openTurns(), 't3')).toEqual(['t1', 't2', 't3']);
});

test('a chain that was stored here is read without storage instances', async () => {
  await startStorages(3);
  const turns = openTurns();
  await keep(turns, 't1');
  await keep(turns, 't2', 't1');
  expect(await read(turns, 't2')).toEqual(['t1', 't2']);
  expect(storages.map(({ reads }) => reads)).toEqual([0, 0, 0]);
});

test('the next instance takes the place of one that is full', async () => {
  await startStorages(3);
  ranked()[0]!.mode = 'disk-full';
  expect(await keep(openTurns(), 't1')).toBe(true);
  expect(holdersOf('t1').sort()).toEqual(
    ranked()
      .slice(1)
      .map(({ name }) => name)
      .sort(),
  );
});

test('the next instance takes the place of one that does not respond', async () => {
  await startStorages(3);
  ranked()[0]!.mode = 'silent';
  expect(await keep(openTurns(), 't1')).toBe(true);
  expect(holdersOf('t1')).toHaveLength(2);
});

test('a turn is not kept with too few copies', async () => {
  await startStorages(3);
  ranked()[0]!.mode = 'disk-full';
  ranked()[1]!.mode = 'disk-full';
  expect(await keep(openTurns(), 't1')).toBe(false);
});

test('a turn is not kept in one availability zone if a zone may be lost', async () => {
  await startStorages(6);
  storages
    .filter((_storage, index) => index % 3 !== 0)
    .forEach((storage) => {
      // eslint-disable-next-line no-param-reassign -- the fake is the test's own
      storage.mode = 'disk-full';
    });
  expect(await keep(openTurns(1, 1), 't1')).toBe(false);
});

test('a turn that no instance holds is absent', async () => {
  await startStorages(3);
  expect(await read(openTurns(), 'unknown')).toBe('absent');
});

test('a turn of another organisation is absent', async () => {
  await startStorages(3);
  await keep(openTurns(), 't1');
  expect(await read(openTurns(), 't1', 'south')).toBe('absent');
});

test('a turn is found on an instance that is not among its holders', async () => {
  await startStorages(4);
  const last = ranked().at(-1)!;
  last.turns.set('north/t1', createTurn('t1'));
  expect(await read(openTurns(), 't1')).toEqual(['t1']);
});

test('a turn is not absent while more instances are silent than may be lost', async () => {
  await startStorages(3);
  storages[0]!.mode = 'silent';
  expect(await read(openTurns(), 'unknown')).toBe('absent');
  storages[1]!.mode = 'silent';
  expect(await read(openTurns(), 'unknown')).toBe('unsure');
});

test('an absent member that may hold the turn counts as silent', async () => {
  await startStorages(3);
  storages[0]!.mode = 'silent';
  directory.put({ key: 'limpetnotch/storage-member/s9', value: '{}', revision: 2 });
  expect(await read(openTurns(), 'unknown')).toBe('unsure');
  directory.remove('limpetnotch/storage-member/s9');
  expect(await read(openTurns(), 'unknown')).toBe('absent');
});

test('an instance that lost its disk does not prove that a turn is absent', async () => {
  await startStorages(3);
  storages[0]!.mode = 'silent';
  storages[1]!.isWhole = false;
  expect(await read(openTurns(), 'unknown')).toBe('unsure');
});

test('nothing is absent before the list of instances was read', async () => {
  await startStorages(3);
  directory = new StorageDirectory({ logger: silentLogger });
  expect(await read(openTurns(), 't1')).toBe('unsure');
});

test('nothing is absent while the list of instances may be outdated', async () => {
  await startStorages(3);
  isListCurrent = false;
  expect(await read(openTurns(), 'unknown')).toBe('unsure');
});

test('a chain whose earlier turn is missing is not read', async () => {
  await startStorages(3);
  await keep(openTurns(), 't2', 't1');
  expect(await read(openTurns(), 't2')).toBe('unsure');
});

test('an earlier turn is read from another instance', async () => {
  await startStorages(3);
  const [first, second] = ranked();
  first!.turns.set('north/t2', createTurn('t2', 't1'));
  second!.turns.set('north/t1', createTurn('t1'));
  expect(await read(openTurns(), 't2')).toEqual(['t1', 't2']);
});

test('instances remain known through an outage of the store', async () => {
  await startStorages(3);
  await keep(openTurns(), 't1');
  storages.forEach(({ entry }) => directory.remove(entry.key));
  expect(await read(openTurns(), 't1')).toEqual(['t1']);
  expect(await keep(openTurns(), 't2', 't1')).toBe(true);
});
