import type { Result, ResultAsync } from 'neverthrow';

/** A value that JSON can carry; members that are undefined are left out. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | { readonly [name: string]: JsonValue | undefined };

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
  /**
   * Commits records in the order of the calls, together with others that wait. `unavailable` means
   * that the records are not in the journal and that this state will never see them committed.
   * After `deposed` only the next owner's state tells whether they are.
   */
  append(records: readonly JsonValue[]): ResultAsync<Commit, CommitError>;
}

/** What a new owner read from the journal. */
export interface RecoveredPartition {
  readonly snapshot: JsonValue | undefined;
  /** Records after the snapshot, the oldest first. */
  readonly records: readonly JsonValue[];
  readonly journal: PartitionJournal;
  /** Whether a previous owner gave the partition up itself, so that its time need not be waited out. */
  readonly handedOver: boolean;
  /**
   * Time (`Date.now()`) until which the previous owner may still grant rates or order engines; 0
   * where there was none or it gave the partition up. Order and history need not wait for it.
   */
  readonly previousOwnerMayActUntilMilliseconds: number;
}

/** Why a partition's state was not restored; the partition stops and its data stays as it is. */
export interface RestoreError {
  readonly kind: 'corrupt-state';
  readonly detail: string;
}

/** In-memory state of one owned partition. */
export interface PartitionState {
  /**
   * Returns the state to be kept in place of all committed records: those whose `append` has
   * resolved with a commit. Records that still wait follow the snapshot in the journal, so it may
   * hold them only where they change nothing when they are applied again. A state that applies
   * records after their commit does so in the turn of the event loop in which `append` resolves.
   */
  snapshot(): JsonValue;
  /** Resolves when no call is under way; new ones are refused from now on. */
  drain(): Promise<void>;
  /** Whether no call is under way, so that the partition may move at once; unknown if absent. */
  isIdle?(): boolean;
  /** Drops the state: the partition is no longer owned. */
  stop(): void;
}

/** Builds the state of a partition when this instance becomes its owner. */
export interface PartitionHandler {
  restore(recovered: RecoveredPartition): Result<PartitionState, RestoreError>;
}
