import { delay } from '@limpetnotch/supervision';
import type { RecoveryFigures } from './journalFigures';
import { quantile } from './journalFigures';
import type { JournalInstance, PartitionTime } from './journalFleet';
import { JournalFleet } from './journalFleet';

const SETTLE_MILLISECONDS = 6_000;
const INSTANCE_COUNT = 4;

const summarize = (
  rounds: number,
  partitions: number,
  samples: readonly number[],
): RecoveryFigures => ({
  rounds,
  partitions,
  p50: quantile(samples, 0.5),
  p95: quantile(samples, 0.95),
  maximum: Math.max(0, ...samples),
});

/** Returns the time until a live instance served each partition again, in milliseconds. */
const computeRecoveryTimes = (
  fleet: JournalFleet,
  losses: readonly PartitionTime[],
): readonly number[] =>
  losses.map(({ partition, atMilliseconds }) => {
    const times = fleet
      .liveInstances()
      .flatMap(({ served }) => served)
      .filter((time) => time.partition === partition && time.atMilliseconds > atMilliseconds)
      .map((time) => time.atMilliseconds - atMilliseconds);
    return Math.min(...times);
  });

const measureRounds = async (
  partitions: number,
  rounds: number,
  removeInstance: (instance: JournalInstance) => Promise<readonly PartitionTime[]>,
): Promise<RecoveryFigures> => {
  const fleet = new JournalFleet(partitions);
  await fleet.start(INSTANCE_COUNT);
  const samples: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    await delay(SETTLE_MILLISECONDS);
    const [lost] = fleet.liveInstances();
    const losses = lost ? await removeInstance(lost) : [];
    await fleet.waitUntilServed();
    samples.push(...computeRecoveryTimes(fleet, losses));
    fleet.startInstance();
  }
  await fleet.stop();
  return summarize(rounds, samples.length, samples);
};

/** Measures the time from the loss of an owner until each of its partitions is served again. */
export const measureOwnerLoss = (partitions: number, rounds: number): Promise<RecoveryFigures> =>
  measureRounds(partitions, rounds, async (instance) => {
    const numbers = Array.from({ length: partitions }, (_value, partition) => partition);
    const atMilliseconds = performance.now();
    const losses = numbers
      .filter((partition) => instance.manager.ownershipOf(partition).kind === 'local')
      .map((partition) => ({ partition, atMilliseconds }));
    await instance.kill();
    return losses;
  });

/** Measures how long calls to a partition wait during the handover from an owner that drains. */
export const measureHandover = (partitions: number, rounds: number): Promise<RecoveryFigures> =>
  measureRounds(partitions, rounds, async (instance) => {
    const before = instance.refused.length;
    await instance.manager.drain();
    const losses = instance.refused.slice(before);
    await instance.kill();
    return losses;
  });
