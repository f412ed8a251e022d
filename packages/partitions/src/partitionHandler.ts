import type { Result, ResultAsync } from 'neverthrow';

/** A value that can be serialised as JSON; undefined members are omitted. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | { readonly [name: string]: JsonValue | undefined };

/**
 * Durability of a commit: `deferred` if witnesses store the records during an outage of the store.
 */
export interface Commit {
  readonly durability: 'durable' | 'deferred';
}

/** Reason why records were not, or may not have been, committed. */
export type CommitError =
  { readonly kind: 'deposed' } | { readonly kind: 'unavailable'; readonly detail: string };

/** Journal of one owned partition; each commit is a compare-and-swap on the partition's key. */
export interface PartitionJournal {
  readonly partition: number;
  readonly epoch: number;
  /**
   * Commits records in the order of the calls, together with other waiting ones. `unavailable`
   * means that the records are not in the journal and that this state will never see them
   * committed. After `deposed`, only the state of the next owner shows whether they were committed.
   */
  append(records: readonly JsonValue[]): ResultAsync<Commit, CommitError>;
}

/** Content of the journal that a new owner restores its state from. */
export interface RecoveredPartition {
  readonly snapshot: JsonValue | undefined;
  /** Records after the snapshot, oldest first. */
  readonly records: readonly JsonValue[];
  readonly journal: PartitionJournal;
  /**
   * Whether a previous owner handed the partition over, so that the new one need not wait for its
   * lease to end.
   */
  readonly handedOver: boolean;
  /**
   * Time (`Date.now()`) until which the previous owner may still grant rates or order engines; 0
   * if there was none or it handed the partition over. Order and history need not wait for it.
   */
  readonly previousOwnerMayActUntilMilliseconds: number;
}

/**
 * Reason why a partition's state was not restored; the partition stops and its data remains
 * unchanged.
 */
export interface RestoreError {
  readonly kind: 'corrupt-state';
  readonly detail: string;
}

/** In-memory state of one owned partition. */
export interface PartitionState {
  /**
   * Returns the state that replaces all committed records, that is, those whose `append` has
   * resolved with a commit. Records that still wait follow the snapshot in the journal, so it may
   * contain them only if applying them again changes nothing. A state that applies records after
   * their commit must do so in the turn of the event loop in which `append` resolves.
   */
  snapshot(): JsonValue;
  /** Resolves when no call is in progress; new calls are refused from now on. */
  drain(): Promise<void>;
  /** Whether no call is in progress, so that the partition may move at once; unknown if absent. */
  isIdle?(): boolean;
  /** Discards the state, since the partition is no longer owned. */
  stop(): void;
}

/** Restores the state of a partition when this instance becomes its owner. */
export interface PartitionHandler {
  restore(recovered: RecoveredPartition): Result<PartitionState, RestoreError>;
}
