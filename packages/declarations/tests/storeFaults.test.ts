import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { createEtcdStore } from '@limpetnotch/store';
import type { KeyValueStore } from '@limpetnotch/store';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import type { StoreFaultsChange } from '@limpetnotch/stand-ins';
import { Deferred } from '@limpetnotch/supervision';
import { ConfigurationFollower, ConfigurationPublisher } from '../src';
import { createExampleSet } from './createExampleSet';

let standIn: StoreStandIn;
let followerStore: KeyValueStore;
let publisherStore: KeyValueStore;
let controller: AbortController;
let followerRun: Promise<void>;

const publishSet = async (weight: number): Promise<number> => {
  const request = { configuration: createExampleSet(weight), author: 'rana' };
  return (await new ConfigurationPublisher(publisherStore).publish(request))._unsafeUnwrap()
    .revision;
};

const startFollower = async (): Promise<ConfigurationFollower> => {
  const ready = new Deferred();
  const options = { store: followerStore, logger: silentLogger, metrics: new MemoryMetrics() };
  const follower = new ConfigurationFollower(options);
  followerRun = follower.run({ signal: controller.signal, ready: () => ready.resolve(undefined) });
  await ready.promise;
  return follower;
};

const waitForRevision = async (
  follower: ConfigurationFollower,
  revision: number,
): Promise<void> => {
  const reachedRevision = new Deferred();
  const stop = follower.onChange((configuration) => {
    if (configuration.revision >= revision) reachedRevision.resolve(undefined);
  });
  if (follower.current().revision < revision) await reachedRevision.promise;
  stop();
};

beforeEach(async () => {
  standIn = new StoreStandIn();
  const endpoints = [`http://127.0.0.1:${await standIn.start()}`];
  followerStore = createEtcdStore({ endpoints });
  publisherStore = createEtcdStore({ endpoints });
  controller = new AbortController();
  followerRun = Promise.resolve();
});
afterEach(async () => {
  controller.abort();
  await followerRun;
  await followerStore.close();
  await publisherStore.close();
  await standIn.stop();
});

test.each<[string, StoreFaultsChange]>([
  ['unresponsive watches', { silenceWatches: true }],
  ['unresponsive connections', { silenceConnections: true }],
  ['broken connections', { breakConnections: true }],
  ['a compaction', { compact: true }],
  ['lost responses to writes', { loseAnswers: 3 }],
  ['lost requests of writes', { loseRequests: 3 }],
])(
  'a change comes into force despite %s',
  async (_name, faults) => {
    await publishSet(1);
    const follower = await startFollower();
    expect(follower.current().revision).toBe(1);
    await standIn.setFaults(faults);
    expect(await publishSet(2)).toBe(2);
    await waitForRevision(follower, 2);
    expect(follower.current().organisations.get('amman')?.weight).toBe(2);
    expect(await publishSet(3)).toBe(3);
    await waitForRevision(follower, 3);
  },
  30_000,
);
