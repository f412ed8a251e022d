import { delay } from '@limpetnotch/supervision';
import type { RecoveryFigures } from './journalFigures';
import { quantile } from './journalFigures';
import type { JournalInstance, PartitionTime } from './journalFleet';
import { JournalFleet } from './journalFleet';

const SETTLE_MILLISECONDS = 6_000;
const INSTANCES = 4;

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

/** Finds when each partition was served next by one of the living. */
const servedAfter = (fleet: JournalFleet, losses: readonly PartitionTime[]): readonly number[] =>
  losses.map(({ partition, atMilliseconds }) => {
    const times = fleet
      .living()
      .flatMap(({ served }) => served)
      .filter((time) => time.partition === partition && time.atMilliseconds > atMilliseconds)
      .map((time) => time.atMilliseconds - atMilliseconds);
    return Math.min(...times);
  });

const measureRounds = async (
  partitions: number,
  rounds: number,
  lose: (instance: JournalInstance) => Promise<readonly PartitionTime[]>,
): Promise<RecoveryFigures> => {
  const fleet = new JournalFleet(partitions);
  await fleet.start(INSTANCES);
  const samples: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    await delay(SETTLE_MILLISECONDS);
    const [lost] = fleet.living();
    const losses = lost ? await lose(lost) : [];
    await fleet.whenServed();
    samples.push(...servedAfter(fleet, losses));
    fleet.startInstance();
  }
  await fleet.stop();
  return summarize(rounds, samples.length, samples);
};

/** Measures the time from an owner's death until each of its partitions is served again. */
export const measureDeath = (partitions: number, rounds: number): Promise<RecoveryFigures> =>
  measureRounds(partitions, rounds, async (instance) => {
    const numbers = Array.from({ length: partitions }, (_value, partition) => partition);
    const atMilliseconds = performance.now();
    const losses = numbers
      .filter((partition) => instance.manager.ownershipOf(partition).kind === 'local')
      .map((partition) => ({ partition, atMilliseconds }));
    await instance.kill();
    return losses;
  });

/** Measures the time for which calls of a partition wait while its owner leaves. */
export const measureHandover = (partitions: number, rounds: number): Promise<RecoveryFigures> =>
  measureRounds(partitions, rounds, async (instance) => {
    const before = instance.refused.length;
    await instance.manager.drain();
    const losses = instance.refused.slice(before);
    await instance.kill();
    return losses;
  });
