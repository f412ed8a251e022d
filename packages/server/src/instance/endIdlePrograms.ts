import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import type { OwnedPartition } from '../owner/ownedPartition';

const INTERVAL_MILLISECONDS = 1_000;

/** Options of {@link endIdlePrograms}. */
export interface IdleProgramsOptions {
  /** Partitions that this instance owns. */
  readonly owned: () => readonly OwnedPartition[];
  readonly metrics: Metrics;
}

/** Ends idle programs and those past their wall time, until the signal aborts. */
export const endIdlePrograms = async (
  { owned, metrics }: IdleProgramsOptions,
  { signal, ready }: ChildContext,
): Promise<void> => {
  ready();
  while (!signal.aborted) {
    for (const { ledger } of owned()) {
      const ended = await ledger.endIdlePrograms(Date.now());
      if (ended > 0) metrics.increment('program.idle-ends', ended);
    }
    await delay(INTERVAL_MILLISECONDS, signal);
  }
};
