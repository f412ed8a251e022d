import type { Result, ResultAsync } from 'neverthrow';

/** A value that JSON can carry. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [name: string]: JsonValue };

/** How far a commit is safe: `deferred` while the store is out and a witness keeps the records. */
export interface Commit {
  readonly durability: 'durable' | 'deferred';
}

/** Why records were not, or may not have been, committed. */
export type CommitError =
  { readonly kind: 'deposed' } | { readonly kind: 'unavailable'; readonly detail: string };

/** Journal of one owned partition; all its commits are compare-and-swaps of the partition's key. */
export interface PartitionJournal {
  readonly partition: number;
  readonly epoch: number;
  append(records: readonly JsonValue[]): ResultAsync<Commit, CommitError>;
}

/** What a new owner read from the journal. */
export interface RecoveredPartition {
  readonly snapshot: JsonValue | undefined;
  /** Records after the snapshot, the oldest first. */
  readonly records: readonly JsonValue[];
  readonly journal: PartitionJournal;
  /** Whether the previous owner gave the partition up itself, so that its time need not be waited out. */
  readonly handedOver: boolean;
}

/** Why a partition's state was not restored; the partition stops and its data stays as it is. */
export interface RestoreError {
  readonly kind: 'corrupt-state';
  readonly detail: string;
}

/** In-memory state of one owned partition. */
export interface PartitionState {
  /** Returns the state to be kept in place of all records so far. */
  snapshot(): JsonValue;
  /** Resolves when no call is under way; new ones are refused from now on. */
  drain(): Promise<void>;
  /** Drops the state: the partition is no longer owned. */
  stop(): void;
}

/** Builds the state of a partition when this instance becomes its owner. */
export interface PartitionHandler {
  restore(recovered: RecoveredPartition): Result<PartitionState, RestoreError>;
}
