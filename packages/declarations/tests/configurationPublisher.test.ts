import { ConfigurationPublisher, diffConfigurations, ROOT_KEY } from '../src';
import { createExampleSet } from './createExampleSet';
import { MemoryStore } from './memoryStore';

const publishSet = (store: MemoryStore, weight: number, baseRevision?: number, author = 'rana') =>
  new ConfigurationPublisher(store).publish({
    configuration: createExampleSet(weight),
    baseRevision,
    author,
  });

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('publishes a configuration and reads it back', async () => {
  const store = new MemoryStore();
  const published = await publishSet(store, 2, 0);
  expect(published._unsafeUnwrap()).toMatchObject({ revision: 1 });
  const read = (await new ConfigurationPublisher(store).read())._unsafeUnwrap();
  expect(read).toEqual({ ...createExampleSet(2), revision: 1 });
});

test('writes only changed values', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const published = (await publishSet(store, 2))._unsafeUnwrap();
  // The chunk of organisations and the index.
  expect(published.writtenValues).toBe(2);
});

test('reports the other operator on a conflict', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1, 0, 'rana');
  const conflicting = await publishSet(store, 2, 0, 'yusuf');
  expect(conflicting._unsafeUnwrapErr()).toMatchObject({
    kind: 'conflict',
    baseRevision: 0,
    currentRevision: 1,
    author: 'rana',
  });
});

test('recognises that a publish took effect when the response was lost', async () => {
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

test('recognises its own publish after another one has followed', async () => {
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

test('reports an unknown outcome while all responses are lost', async () => {
  const store = new MemoryStore();
  store.losesAnswer = ({ key }) => key === ROOT_KEY;
  const publishing = publishSet(store, 1, 0);
  store.beforeWrite = ({ key }) => {
    // All later responses are lost too, including the one that reports the conflict.
    store.losesAnswer = (request) => request.key === ROOT_KEY && key === ROOT_KEY;
    return Promise.resolve();
  };
  await jest.advanceTimersByTimeAsync(60_000);
  expect((await publishing)._unsafeUnwrapErr()).toMatchObject({
    kind: 'outcome-unknown',
    revision: 1,
  });
});

test('reports an unreachable store when nothing can have been written', async () => {
  const store = new MemoryStore();
  store.outage = true;
  const publishing = publishSet(store, 1, 0);
  await jest.advanceTimersByTimeAsync(60_000);
  expect((await publishing)._unsafeUnwrapErr()).toMatchObject({ kind: 'store-unreachable' });
});

test('publishes nothing of a configuration with faults', async () => {
  const store = new MemoryStore();
  const configuration = { ...createExampleSet(), organisations: new Map() };
  const result = await new ConfigurationPublisher(store).publish({ configuration, author: 'rana' });
  expect(result._unsafeUnwrapErr()).toMatchObject({ kind: 'faults' });
  expect(store.entries.size).toBe(0);
});

test('publishes the content of an earlier revision as a new one on rollback', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  await publishSet(store, 2);
  const publisher = new ConfigurationPublisher(store);
  const published = await publisher.rollback(1, 'yusuf');
  expect(published._unsafeUnwrap()).toMatchObject({ revision: 3 });
  expect((await publisher.read())._unsafeUnwrap()).toEqual({ ...createExampleSet(1), revision: 3 });
  expect((await publisher.readRoot())._unsafeUnwrap()).toMatchObject({ rollbackOf: 1 });
  expect((await publisher.rollback(9, 'yusuf'))._unsafeUnwrapErr()).toEqual({
    kind: 'revision-not-kept',
    revision: 9,
  });
});

test('a rollback does not reactivate a withdrawn key', async () => {
  const store = new MemoryStore();
  await publishSet(store, 1);
  const publisher = new ConfigurationPublisher(store);
  const configuration = createExampleSet(2);
  const keys = new Map(
    [...configuration.keys].map(([name, spec]) => [name, { ...spec, state: 'withdrawn' as const }]),
  );
  await publisher.publish({ configuration: { ...configuration, keys }, author: 'rana' });
  await publisher.rollback(1, 'yusuf');
  const read = (await publisher.read())._unsafeUnwrap();
  expect(read.keys.get('amman-office')?.state).toBe('withdrawn');
  expect(diffConfigurations(createExampleSet(1), read)).toEqual([
    { change: 'changed', kind: 'key', name: 'amman-office', fields: ['state'] },
  ]);
});

test('rejects a withdrawn key that is published as active again', async () => {
  const store = new MemoryStore();
  const publisher = new ConfigurationPublisher(store);
  const configuration = createExampleSet(1);
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
