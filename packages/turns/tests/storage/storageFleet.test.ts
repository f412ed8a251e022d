import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { StoreTurnsResponse_Result as StoreResult } from '@limpetnotch/peer-protocol';
import type { Turn } from '@limpetnotch/peer-protocol';
import { STORAGE_MEMBER_PREFIX } from '../../src';
import { createTurn } from '../support/createTurn';
import { StorageFleet } from '../support/storageFleet';

jest.setTimeout(40_000);

const NAMES = ['s-1', 's-2', 's-3', 's-4'];

let fleet: StorageFleet;

/** Server that accepts connections and never answers. */
let silent: Server | undefined;

const createTurns = (count: number): readonly Turn[] =>
  Array.from({ length: count }, (_one, index) => createTurn(`turn-${index}`));

/** Stores each turn on its holders, as an entry instance does. */
const storeAll = async (turns: readonly Turn[], names: readonly string[]): Promise<void> => {
  for (const turn of turns) await fleet.storeOn(fleet.holdersOf(turn, names), [turn]);
};

const countCopies = async (
  turns: readonly Turn[],
  names: readonly string[],
): Promise<readonly number[]> => {
  const copies: number[] = [];
  for (const turn of turns) copies.push((await fleet.findCopies(turn, names)).length);
  return copies;
};

const haveAllCopies = async (
  turns: readonly Turn[],
  names: readonly string[],
): Promise<boolean> => {
  for (const turn of turns) {
    const copies = await fleet.findCopies(turn, names);
    if (!fleet.holdersOf(turn, names).every((name) => copies.includes(name))) return false;
  }
  return true;
};

beforeEach(() => {
  fleet = new StorageFleet({ toleratedLosses: { instances: 1, availabilityZones: 1 } });
});

afterEach(async () => {
  await fleet.close();
  silent?.closeAllConnections();
  silent?.close();
  silent = undefined;
});

test('turns are read with their chain, and by no other organisation', async () => {
  await fleet.start(NAMES.slice(0, 2));
  const first = createTurn('1');
  const second = createTurn('2', { parentId: '1', program: first.program });
  await fleet.storeOn(['s-1'], [first, second]);
  const client = fleet.client('s-1');
  const chain = await client.readChain({ organisation: 'north', id: '2' });
  expect(chain.turns.map(({ id }) => id)).toEqual(['2', '1']);
  expect(chain.isWhole).toBe(true);
  expect((await client.readChain({ organisation: 'south', id: '2' })).turns).toEqual([]);
});

test('a turn that was acknowledged survives a kill of all instances', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(20);
  await storeAll(turns, NAMES);
  await Promise.all(NAMES.map((name) => fleet.end(name, 'kill')));
  NAMES.forEach((name) => {
    fleet.get(name).files.losePower(() => 0);
    fleet.restart(name, 'kept');
  });
  await fleet.until(async () => (await fleet.findIncarnations(NAMES)).length === NAMES.length);
  expect(await countCopies(turns, NAMES)).toEqual(turns.map(() => 2));
  await fleet.until(() => NAMES.every((name) => fleet.isWhole(name)));
});

// An instance that claims to be whole with an empty disk makes a stored turn look absent.
test('a wiped instance is not whole before it has fetched its turns', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(30);
  await storeAll(turns, NAMES);
  const [first] = fleet.holdersOf(turns[0]!, NAMES);
  await fleet.end(first!, 'kill');
  fleet.restart(first!, 'wiped');
  await fleet.until(async () => (await fleet.findIncarnations([first!])).length === 1);
  let isWhole = false;
  while (!isWhole) {
    const answer = await fleet.client(first!).readChain({ organisation: 'north', id: 'turn-0' });
    isWhole = answer.isWhole;
    if (isWhole) expect(answer.turns).toHaveLength(1);
  }
  expect(await haveAllCopies(turns, NAMES)).toBe(true);
});

test('two wiped instances, one after the other, lose no turn', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(30);
  await storeAll(turns, NAMES);
  for (const name of ['s-1', 's-2', 's-3', 's-4']) {
    await fleet.end(name, 'kill');
    const { incarnation } = fleet.presence(name) ?? {};
    fleet.restart(name, 'wiped');
    await fleet.untilReplaced(name, incarnation);
  }
  expect(await haveAllCopies(turns, NAMES)).toBe(true);
});

test('a wiped instance stays not whole while a member that may have its turns is absent', async () => {
  await fleet.start(NAMES.slice(0, 3));
  const turns = createTurns(20);
  await storeAll(turns, NAMES.slice(0, 3));
  await Promise.all(['s-1', 's-2'].map((name) => fleet.end(name, 'kill')));
  fleet.restart('s-1', 'wiped');
  await new Promise((resolve) => {
    setTimeout(resolve, 8_000);
  });
  expect(['s-1', 's-3'].map((name) => fleet.isWhole(name))).toEqual([false, false]);
  expect(fleet.store.keys(STORAGE_MEMBER_PREFIX)).toHaveLength(3);
  fleet.restart('s-2', 'kept');
  await fleet.until(() => NAMES.slice(0, 3).every((name) => fleet.isWhole(name)));
  expect(await haveAllCopies(turns, NAMES.slice(0, 3))).toBe(true);
});

test('a replaced instance has its turns copied, and is removed from the members', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(30);
  await storeAll(turns, NAMES);
  await fleet.end('s-1', 'kill');
  await fleet.add('s-5', 'a');
  const remaining = ['s-2', 's-3', 's-4', 's-5'];
  await fleet.until(() => !fleet.store.keys(STORAGE_MEMBER_PREFIX).join().includes('s-1'));
  expect(await haveAllCopies(turns, remaining)).toBe(true);
  await fleet.until(() => remaining.every((name) => fleet.isWhole(name)));
});

test('a retired instance is reported once all its turns are on their holders', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(30);
  await storeAll(turns, NAMES);
  fleet.requestRetirement('s-1');
  await fleet.until(() => fleet.retirementState('s-1') === 'done');
  expect(await haveAllCopies(turns, ['s-2', 's-3', 's-4'])).toBe(true);
  const refused = fleet.client('s-1').storeTurns({ turns: [createTurn('late')] });
  await expect(refused).rejects.toThrow('accepts no turns');
});

// The machine is removed with its disk immediately after the report.
test('a retirement waits for a holder that does not answer', async () => {
  await fleet.start(NAMES.slice(0, 3));
  const turns = createTurns(30);
  await storeAll(turns, NAMES.slice(0, 3));
  fleet.get('s-2').files.capacityBytes = 0;
  fleet.requestRetirement('s-1');
  await fleet.until(() => fleet.retirementState('s-1') === 'running');
  await new Promise((resolve) => {
    setTimeout(resolve, 2_000);
  });
  expect(fleet.retirementState('s-1')).toBe('running');
  fleet.get('s-2').files.capacityBytes = Infinity;
  await fleet.until(() => fleet.retirementState('s-1') === 'done');
  expect(await haveAllCopies(turns, ['s-2', 's-3'])).toBe(true);
});

test('a restart after the end of a retirement accepts no turn', async () => {
  await fleet.start(NAMES);
  fleet.requestRetirement('s-1');
  await fleet.until(() => fleet.retirementState('s-1') === 'done');
  await fleet.end('s-1', 'kill');
  fleet.restart('s-1', 'kept');
  await fleet.until(async () => {
    const stored = fleet.client('s-1').storeTurns({ turns: [createTurn('late')] });
    return stored.then(
      () => {
        throw new Error('a turn was stored');
      },
      (error: unknown) => String(error).includes('accepts no turns'),
    );
  });
});

test('a dead instance that is to be retired is reported by another one after the repair', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(30);
  await storeAll(turns, NAMES);
  await fleet.end('s-3', 'kill');
  fleet.requestRetirement('s-3');
  await fleet.until(() => fleet.retirementState('s-3') === 'done');
  expect(await haveAllCopies(turns, ['s-1', 's-2', 's-4'])).toBe(true);
});

test('an instance that never stored anything is reported as empty', async () => {
  await fleet.start(NAMES.slice(0, 2));
  fleet.requestRetirement('s-9');
  await fleet.until(() => fleet.retirementState('s-9') === 'done');
});

test('a turn that was stored beside its holders reaches them, with its chain', async () => {
  await fleet.start(NAMES);
  const first = createTurn('1');
  const holders = fleet.holdersOf(first, NAMES);
  const [other] = NAMES.filter((name) => !holders.includes(name));
  await fleet.storeOn(holders, [first]);
  const second = createTurn('2', { program: first.program, parentId: '1' });
  await fleet.storeOn([holders[0]!, other!], [second]);
  await fleet.until(async () => {
    const copies = await fleet.findCopies(second, NAMES);
    return copies.includes(holders[1]!);
  });
  // The ancestors live as long as this copy of the turn does.
  await fleet.until(async () => (await fleet.findCopies(first, [other!])).length === 1);
});

test('a full disk is an error of its own, and the other instances go on', async () => {
  await fleet.start(NAMES);
  fleet.get('s-1').files.capacityBytes = 0;
  const turn = createTurn('1');
  const { results } = await fleet.client('s-1').storeTurns({ turns: [turn] });
  expect(results).toEqual([StoreResult.DISK_FULL]);
  await fleet.storeOn(['s-2', 's-3'], [turn]);
  fleet.get('s-1').files.capacityBytes = Infinity;
  await fleet.storeOn(['s-1'], [turn]);
});

test('an outage of the store changes nothing, also when all leases end with it', async () => {
  await fleet.start(NAMES);
  const turns = createTurns(10);
  await storeAll(turns, NAMES);
  NAMES.forEach((name) => {
    fleet.get(name).connection.isDown = true;
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 4_000);
  });
  await storeAll([createTurn('during')], NAMES);
  const { isWhole } = await fleet.client('s-1').readChain({ organisation: 'north', id: 'none' });
  expect(isWhole).toBe(true);
  fleet.store.endLeases();
  NAMES.forEach((name) => {
    fleet.get(name).connection.isDown = false;
  });
  await fleet.until(() => NAMES.every((name) => fleet.isWhole(name)));
  expect(await countCopies(turns, NAMES)).toEqual(turns.map(() => 2));
});

test('a damaged record is fetched again', async () => {
  await fleet.start(NAMES.slice(0, 2));
  const turn = createTurn('1');
  await fleet.storeOn(['s-1', 's-2'], [turn]);
  fleet.get('s-1').files.stored.forEach(({ bytes }) => {
    if (bytes.length > 0) bytes.writeUInt8(bytes.readUInt8(30) ^ 1, 30);
  });
  expect(await fleet.findCopies(turn, ['s-1'])).toEqual([]);
  const { isWhole } = await fleet.client('s-1').readChain({ organisation: 'north', id: 'none' });
  expect(isWhole).toBe(false);
  await fleet.until(async () => (await fleet.findCopies(turn, ['s-1'])).length === 1);
  await fleet.until(() => fleet.isWhole('s-1'));
});

test('instances of an upgraded system, which are no members yet, become whole', async () => {
  await fleet.start(NAMES.slice(0, 3), false);
  await fleet.until(() => NAMES.slice(0, 3).every((name) => fleet.isWhole(name)));
});

test('a stop ends the presence at once', async () => {
  await fleet.start(NAMES.slice(0, 2));
  await fleet.end('s-1', 'stop');
  expect(fleet.presence('s-1')).toBeUndefined();
});

// A wiped instance would otherwise be whole without them, with one copy less than tolerated losses need.
test('a wiped instance fetches turns that it held beside their holders', async () => {
  await fleet.start(NAMES);
  const turn = createTurn('1');
  const holders = fleet.holdersOf(turn, NAMES);
  const [other] = NAMES.filter((name) => !holders.includes(name));
  // The other holder is frozen, and gets no copy.
  const frozen = holders[1]!;
  fleet.get(frozen).files.capacityBytes = 0;
  await fleet.storeOn([holders[0]!, other!], [turn]);
  await fleet.end(other!, 'kill');
  const { incarnation } = fleet.presence(other!) ?? {};
  fleet.restart(other!, 'wiped');
  await fleet.untilReplaced(other!, incarnation);
  expect(await fleet.findCopies(turn, [other!])).toEqual([other]);
});

test('an instance that does not answer delays neither writes nor repairs of the others', async () => {
  await fleet.start(NAMES);
  const { port } = fleet.get('s-4');
  await fleet.end('s-4', 'kill');
  silent = createServer().listen(port, '127.0.0.1');
  const turns = createTurns(10);
  await storeAll(turns, NAMES.slice(0, 3));
  const { incarnation } = fleet.presence('s-1') ?? {};
  await fleet.end('s-1', 'kill');
  fleet.restart('s-1', 'wiped');
  await fleet.until(async () => (await fleet.findIncarnations(['s-1'])).length === 1);
  // Once the presence of the silent one has ended, the wiped one may not yet be sure of its turns.
  await fleet.until(async () =>
    (await countCopies(turns, ['s-1', 's-2', 's-3'])).every((one) => one >= 2),
  );
  expect(fleet.presence('s-1')?.incarnation === incarnation || !fleet.isWhole('s-1')).toBe(true);
});

test('a new member stores turns only after entry instances must know it', async () => {
  await fleet.start(NAMES.slice(0, 2));
  await fleet.add('s-5', 'c');
  await fleet.until(() => fleet.isWhole('s-5'));
  const store = () => fleet.client('s-5').storeTurns({ turns: [createTurn('1')] });
  await expect(store()).rejects.toThrow('accepts no turns');
  await fleet.until(() =>
    store().then(
      () => true,
      () => false,
    ),
  );
});
