import type { ResultAsync } from 'neverthrow';
import type { ProgramRecord } from './programRecord';

/**
 * Durability of a commit: `deferred` while the store is unavailable and a witness holds the
 * records.
 */
export interface JournalCommit {
  readonly durability: 'durable' | 'deferred';
}

/** Why records were not committed, or possibly not. */
export type JournalError =
  /** Another instance owns the partition; no call may be dispatched or completed here any more. */
  | { readonly kind: 'deposed' }
  /** The store did not accept the records, and no witness may replace it. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Journal of one partition, as used by its programs. */
export interface Journal {
  readonly partition: number;
  /** Fencing number of the current ownership. */
  readonly epoch: number;
  /** Commits records in order, in a batch with other waiting records. */
  append(records: readonly ProgramRecord[]): ResultAsync<JournalCommit, JournalError>;
}
