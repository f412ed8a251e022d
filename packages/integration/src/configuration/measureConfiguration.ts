import {
  checkConfiguration,
  ConfigurationPublisher,
  encodeConfiguration,
  createSampleConfiguration,
} from '@limpetnotch/declarations';
import type {
  Configuration,
  EncodedConfiguration,
  PublishedRevision,
} from '@limpetnotch/declarations';
import { createEtcdStore } from '@limpetnotch/store';
import type { KeyValueStore } from '@limpetnotch/store';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import type { ConfigurationFigures } from './configurationFigures';
import { MeasuredFollower } from './measuredFollower';
import { withdrawKey } from './withdrawKey';

const AUTHOR = 'bench';

interface Measured<Value> {
  readonly value: Value;
  readonly milliseconds: number;
}

const measureTime = async <Value>(task: () => Value | Promise<Value>): Promise<Measured<Value>> => {
  const startedAt = performance.now();
  const value = await task();
  return { value, milliseconds: performance.now() - startedAt };
};

const measureHeapBytes = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

const publish = async (
  store: KeyValueStore,
  configuration: Configuration,
): Promise<Measured<PublishedRevision>> =>
  measureTime(async () => {
    const published = await new ConfigurationPublisher(store).publish({
      configuration,
      author: AUTHOR,
    });
    if (published.isErr()) throw new Error(`publish: ${published.error.kind}`);
    return published.value;
  });

const encode = (configuration: Configuration): EncodedConfiguration => {
  const encoded = encodeConfiguration(configuration);
  if (encoded.isErr()) throw new Error(`encode: ${encoded.error.kind}`);
  return encoded.value;
};

const getValueSizes = ({ values }: EncodedConfiguration): number[] =>
  [...values.values()].map((value) => Buffer.byteLength(value));

type ChangeFigures = Pick<
  ConfigurationFigures,
  | 'firstLoadMilliseconds'
  | 'followerHeapBytes'
  | 'changePublishMilliseconds'
  | 'changedValues'
  | 'forceMilliseconds'
  | 'silentForceMilliseconds'
  | 'stallMilliseconds'
>;

const measureChanges = async (
  standIn: StoreStandIn,
  publisherStore: KeyValueStore,
  followerStore: KeyValueStore,
  configuration: Configuration,
): Promise<ChangeFigures> => {
  const heapBefore = measureHeapBytes();
  const follower = new MeasuredFollower(followerStore);
  const firstLoadMilliseconds = await follower.start();
  const followerHeapBytes = measureHeapBytes() - heapBefore;
  const withdrawnOnce = withdrawKey(configuration, 0);
  const change = await publish(publisherStore, withdrawnOnce);
  follower.startStallMeasurement();
  const forceMilliseconds = await follower.awaitRevision(change.value.revision);
  const stallMilliseconds = await follower.endStallMeasurement();
  await standIn.setFaults({ silenceWatches: true });
  const silent = await publish(publisherStore, withdrawKey(withdrawnOnce, 1));
  const silentForceMilliseconds = await follower.awaitRevision(silent.value.revision);
  await follower.stop();
  return {
    firstLoadMilliseconds,
    followerHeapBytes,
    changePublishMilliseconds: change.milliseconds,
    changedValues: change.value.writtenValues,
    forceMilliseconds,
    silentForceMilliseconds,
    stallMilliseconds,
  };
};

/** Measures a configuration of one size against a store stand-in. */
export const measureConfiguration = async (
  organisations: number,
  keys: number,
): Promise<ConfigurationFigures> => {
  const configuration = createSampleConfiguration(organisations, keys);
  const check = await measureTime(() => checkConfiguration(configuration));
  if (check.value.length > 0) throw new Error('the sample configuration is invalid');
  const encoded = await measureTime(() => encode(configuration));
  const sizes = getValueSizes(encoded.value);
  const standIn = new StoreStandIn();
  const endpoints = [`http://127.0.0.1:${await standIn.start()}`];
  const publisherStore = createEtcdStore({ endpoints });
  const followerStore = createEtcdStore({ endpoints });
  try {
    const first = await publish(publisherStore, configuration);
    const changes = await measureChanges(standIn, publisherStore, followerStore, configuration);
    return {
      organisations,
      keys,
      checkMilliseconds: check.milliseconds,
      encodeMilliseconds: encoded.milliseconds,
      storedValues: sizes.length,
      storedBytes: sizes.reduce((sum, size) => sum + size, 0),
      largestValueBytes: Math.max(...sizes),
      firstPublishMilliseconds: first.milliseconds,
      ...changes,
    };
  } finally {
    await publisherStore.close();
    await followerStore.close();
    await standIn.stop();
  }
};
