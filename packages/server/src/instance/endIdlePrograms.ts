import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import type { OwnedPartition } from '../owner/ownedPartition';

const CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Options of {@link endIdlePrograms}. */
export interface EndIdleProgramsOptions {
  /** Returns the partitions that this instance owns. */
  readonly listOwnedPartitions: () => readonly OwnedPartition[];
  readonly metrics: Metrics;
}

/** Ends programs that are idle or have exceeded their wall time, until the signal aborts. */
export const endIdlePrograms = async (
  { listOwnedPartitions, metrics }: EndIdleProgramsOptions,
  { signal, ready }: ChildContext,
): Promise<void> => {
  ready();
  while (!signal.aborted) {
    for (const { ledger } of listOwnedPartitions()) {
      const ended = await ledger.endIdlePrograms(Date.now());
      if (ended > 0) metrics.increment('program.idle-ends', ended);
    }
    await delay(CHECK_INTERVAL_MILLISECONDS, signal);
  }
};
