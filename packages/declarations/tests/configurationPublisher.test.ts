import { ConfigurationPublisher, diffConfigurations, ROOT_KEY } from '../src';
import { exampleSet } from './exampleSet';
import { MemoryStore } from './memoryStore';

const publishSet = (store: MemoryStore, weight: number, baseRevision?: number, author = 'rana') =>
  new ConfigurationPublisher(store).publish({
    configuration: exampleSet(weight),
    baseRevision,
    author,
  });

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('publishes a set and reads it back', async () => {
  const store = new MemoryStore();
  const published = await publishSet(store, 2, 0);
  expect(published._unsafeUnwrap()).toMatchObject({ revision: 1 });
  const read = (await new ConfigurationPublisher(store).read())._unsafeUnwrap();
  expect(read).toEqual({ ...exampleSet(2), revision: 1 });
});

test('writes only what changed', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const published = (await publishSet(store, 2))._unsafeUnwrap();
  // The chunk of organisations and the index.
  expect(published.writtenValues).toBe(2);
});

test('names the other operator on a conflict', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1, 0, 'rana');
  const late = await publishSet(store, 2, 0, 'yusuf');
  expect(late._unsafeUnwrapErr()).toMatchObject({
    kind: 'conflict',
    baseRevision: 0,
    currentRevision: 1,
    author: 'rana',
  });
});

test('knows that a publish took effect though its answer was lost', async () => {
  const store = new MemoryStore();
  let lost = 0;
  store.losesAnswer = ({ key }) => {
    lost += key === ROOT_KEY ? 1 : 0;
    return key === ROOT_KEY && lost === 1;
  };
  const publishing = publishSet(store, 1, 0);
  await jest.advanceTimersByTimeAsync(5_000);
  expect((await publishing)._unsafeUnwrap()).toMatchObject({ revision: 1 });
});

test('knows its publish again when others have followed it', async () => {
  const store = new MemoryStore();
  let lost = false;
  store.losesAnswer = ({ key }) => {
    const first = key === ROOT_KEY && !lost;
    lost ||= first;
    return first;
  };
  const publishing = publishSet(store, 1, 0);
  await jest.advanceTimersByTimeAsync(1);
  await publishSet(store, 2, 1, 'yusuf');
  await jest.advanceTimersByTimeAsync(5_000);
  expect((await publishing)._unsafeUnwrap()).toMatchObject({ revision: 1 });
});

test('says that the outcome is unknown while no answer comes', async () => {
  const store = new MemoryStore();
  store.losesAnswer = ({ key }) => key === ROOT_KEY;
  const publishing = publishSet(store, 1, 0);
  store.beforeWrite = ({ key }) => {
    // After the first attempt every answer is lost, and so is the conflict.
    store.losesAnswer = (request) => request.key === ROOT_KEY && key === ROOT_KEY;
    return Promise.resolve();
  };
  await jest.advanceTimersByTimeAsync(60_000);
  expect((await publishing)._unsafeUnwrapErr()).toMatchObject({
    kind: 'outcome-unknown',
    revision: 1,
  });
});

test('says that the store is out when nothing can have been written', async () => {
  const store = new MemoryStore();
  store.outage = true;
  const publishing = publishSet(store, 1, 0);
  await jest.advanceTimersByTimeAsync(60_000);
  expect((await publishing)._unsafeUnwrapErr()).toMatchObject({ kind: 'store-unreachable' });
});

test('publishes nothing of a set with faults', async () => {
  const store = new MemoryStore();
  const configuration = { ...exampleSet(), organisations: new Map() };
  const result = await new ConfigurationPublisher(store).publish({ configuration, author: 'rana' });
  expect(result._unsafeUnwrapErr()).toMatchObject({ kind: 'faults' });
  expect(store.entries.size).toBe(0);
});

test('rolls back to an earlier content as a new revision', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  await publishSet(store, 2);
  const publisher = new ConfigurationPublisher(store);
  const published = await publisher.rollback(1, 'yusuf');
  expect(published._unsafeUnwrap()).toMatchObject({ revision: 3 });
  expect((await publisher.read())._unsafeUnwrap()).toEqual({ ...exampleSet(1), revision: 3 });
  expect((await publisher.readRoot())._unsafeUnwrap()).toMatchObject({ rollbackOf: 1 });
  expect((await publisher.rollback(9, 'yusuf'))._unsafeUnwrapErr()).toEqual({
    kind: 'revision-not-kept',
    revision: 9,
  });
});

test('a rollback does not revive a withdrawn key', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const publisher = new ConfigurationPublisher(store);
  const configuration = exampleSet(2);
  const keys = new Map(
    [...configuration.keys].map(([name, spec]) => [name, { ...spec, state: 'withdrawn' as const }]),
  );
  await publisher.publish({ configuration: { ...configuration, keys }, author: 'rana' });
  await publisher.rollback(1, 'yusuf');
  const read = (await publisher.read())._unsafeUnwrap();
  expect(read.keys.get('amman-office')?.state).toBe('withdrawn');
  expect(diffConfigurations(exampleSet(1), read)).toEqual([
    { change: 'changed', kind: 'key', name: 'amman-office', fields: ['state'] },
  ]);
});

test('a withdrawn key can not be published as active again', async () => {
  const store = new MemoryStore();
  const publisher = new ConfigurationPublisher(store);
  const configuration = exampleSet(1);
  const withdrawn = new Map(
    [...configuration.keys].map(([name, spec]) => [name, { ...spec, state: 'withdrawn' as const }]),
  );
  await publisher.publish({ configuration: { ...configuration, keys: withdrawn }, author: 'rana' });
  const renamed = new Map([...configuration.keys].map(([, spec]) => ['renamed', spec]));
  for (const keys of [configuration.keys, renamed]) {
    const result = await publisher.publish({
      configuration: { ...configuration, keys },
      author: 'yusuf',
    });
    expect(result._unsafeUnwrapErr()).toMatchObject({
      kind: 'faults',
      faults: [{ problem: 'revived-key' }],
    });
  }
});
