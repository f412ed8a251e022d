import type { ResultAsync } from 'neverthrow';
import type { ProgramRecord } from './programRecord';

/** How far a commit is safe: `deferred` while the store is out and a witness keeps the records. */
export interface JournalCommit {
  readonly durability: 'durable' | 'deferred';
}

/** Why records were not, or may not have been, committed. */
export type JournalError =
  /** Another instance owns the partition; nothing more may be dispatched or answered. */
  | { readonly kind: 'deposed' }
  /** The store did not take the records and no witness may stand in. */
  | { readonly kind: 'unavailable'; readonly detail: string };

/** Journal of one partition, as the programs see it. */
export interface Journal {
  readonly partition: number;
  /** Fencing number of this ownership. */
  readonly epoch: number;
  /** Commits records in order, together with others that wait. */
  append(records: readonly ProgramRecord[]): ResultAsync<JournalCommit, JournalError>;
}
