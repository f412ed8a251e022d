import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { createEtcdStore } from '@limpetnotch/store';
import type { KeyValueStore } from '@limpetnotch/store';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import type { StoreFaultsChange } from '@limpetnotch/stand-ins';
import { Deferred } from '@limpetnotch/supervision';
import { ConfigurationFollower, ConfigurationPublisher } from '../src';
import { exampleSet } from './exampleSet';

let standIn: StoreStandIn;
let followed: KeyValueStore;
let published: KeyValueStore;
let controller: AbortController;
let running: Promise<void>;

const publishSet = async (weight: number): Promise<number> => {
  const request = { configuration: exampleSet(weight), author: 'rana' };
  return (await new ConfigurationPublisher(published).publish(request))._unsafeUnwrap().revision;
};

const follow = async (): Promise<ConfigurationFollower> => {
  const ready = new Deferred();
  const options = { store: followed, logger: silentLogger, metrics: new MemoryMetrics() };
  const follower = new ConfigurationFollower(options);
  running = follower.run({ signal: controller.signal, ready: () => ready.resolve(undefined) });
  await ready.promise;
  return follower;
};

const reached = async (follower: ConfigurationFollower, revision: number): Promise<void> => {
  const arrived = new Deferred();
  const stop = follower.onChange((configuration) => {
    if (configuration.revision >= revision) arrived.resolve(undefined);
  });
  if (follower.current().revision < revision) await arrived.promise;
  stop();
};

beforeEach(async () => {
  standIn = new StoreStandIn();
  const endpoints = [`http://127.0.0.1:${await standIn.start()}`];
  followed = createEtcdStore({ endpoints });
  published = createEtcdStore({ endpoints });
  controller = new AbortController();
  running = Promise.resolve();
});
afterEach(async () => {
  controller.abort();
  await running;
  await followed.close();
  await published.close();
  await standIn.stop();
});

test.each<[string, StoreFaultsChange]>([
  ['silent watches', { silenceWatches: true }],
  ['silent connections', { silenceConnections: true }],
  ['broken connections', { breakConnections: true }],
  ['a compaction', { compact: true }],
  ['lost answers of writes', { loseAnswers: 3 }],
  ['lost requests of writes', { loseRequests: 3 }],
])(
  'a change comes into force through %s',
  async (_name, faults) => {
    await publishSet(1);
    const follower = await follow();
    expect(follower.current().revision).toBe(1);
    await standIn.setFaults(faults);
    expect(await publishSet(2)).toBe(2);
    await reached(follower, 2);
    expect(follower.current().organisations.get('amman')?.weight).toBe(2);
    expect(await publishSet(3)).toBe(3);
    await reached(follower, 3);
  },
  30_000,
);
