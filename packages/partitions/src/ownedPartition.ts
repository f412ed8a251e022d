import type { JournalWriter } from './journalWriter';
import type { OutageGuard } from './outageGuard';
import type { PartitionState } from './partitionHandler';

/** A partition that this instance owns and serves. */
export interface OwnedPartition {
  readonly writer: JournalWriter;
  readonly state: PartitionState;
  readonly guard: OutageGuard;
}
