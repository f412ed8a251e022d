import type { ResultAsync } from 'neverthrow';
import type { StoreError } from './storeError';

/** One key with its value and the revision at which it was last written. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the last write to this key; the revision increases with each write to the store. */
  readonly revision: number;
}

/** All entries under a prefix at one revision of the store. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** A write that takes effect only if the key still has the expected revision. */
export interface CompareAndSwapRequest {
  readonly key: string;
  /** Required revision of the key; 0 if the key must not exist. */
  readonly expectedRevision: number;
  readonly value: string;
  /** Lease that the key is attached to; the key is removed when the lease ends. */
  readonly leaseId?: string | undefined;
}

/** A write that takes effect whatever the key holds. */
export interface PutRequest {
  readonly key: string;
  readonly value: string;
}

/** Maximum number of keys that one call may write. */
export const MAXIMUM_PUTS = 32;

/** Outcome of a compare-and-swap to which the store responded. */
export type CompareAndSwapOutcome =
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: StoreEntry | undefined };

/** A lease as the store granted or renewed it. */
export interface Lease {
  readonly leaseId: string;
  /** Time to live in milliseconds, counted from the response. */
  readonly timeToLiveMilliseconds: number;
}

/** An event of a watch; `progress` reports the revision without a change. */
export type WatchEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number }
  | { readonly kind: 'progress'; readonly revision: number };

/** Options of a watch. */
export interface WatchOptions {
  /** Key, or prefix of keys, to watch. */
  readonly prefix: string;
  /** First revision to report. */
  readonly fromRevision: number;
  readonly signal: AbortSignal;
  /**
   * Time without any event, including `progress`, after which the watch throws; taken from the
   * options of the store by default.
   */
  readonly silenceMilliseconds?: number | undefined;
}

/** The platform's key-value service, reduced to the operations that limpetnotch uses. */
export interface KeyValueStore {
  read(key: string): ResultAsync<StoreEntry | undefined, StoreError>;
  list(prefix: string): ResultAsync<StoreListing, StoreError>;
  compareAndSwap(request: CompareAndSwapRequest): ResultAsync<CompareAndSwapOutcome, StoreError>;
  /** Removes a key if it still has the expected revision; resolves to whether it was removed. */
  remove(key: string, expectedRevision: number): ResultAsync<boolean, StoreError>;
  grantLease(timeToLiveMilliseconds: number): ResultAsync<Lease, StoreError>;
  /** Renews a lease; fails with `lease-ended` if the lease has ended. */
  renewLease(leaseId: string): ResultAsync<Lease, StoreError>;
  revokeLease(leaseId: string): ResultAsync<void, StoreError>;
  /**
   * Yields events until the signal aborts; throws a `WatchError` when the connection is lost or
   * silent, the revision has been compacted or a line is malformed.
   */
  watch(options: WatchOptions): AsyncIterable<WatchEvent>;
  close(): Promise<void>;
}

/** A key-value service that writes several keys in one call. */
export interface BatchStore extends KeyValueStore {
  /**
   * Writes up to {@link MAXIMUM_PUTS} keys, all of which are removed when the lease ends; fails with
   * `lease-ended` if it has ended.
   */
  putAll(puts: readonly PutRequest[], leaseId: string): ResultAsync<void, StoreError>;
}
