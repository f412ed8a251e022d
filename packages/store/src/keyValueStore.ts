import type { ResultAsync } from 'neverthrow';
import type { StoreError } from './storeError';

/** One key with its value and the revision at which it was last written. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the last write of this key; rises with every write of the store. */
  readonly revision: number;
}

/** All entries under a prefix, as of one revision of the store. */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** A write that takes effect only if the key still has the expected revision. */
export interface CompareAndSwapRequest {
  readonly key: string;
  /** Revision that the key must have; 0 if it must be absent. */
  readonly expectedRevision: number;
  readonly value: string;
  /** Lease with whose end the key goes away. */
  readonly leaseId?: string | undefined;
}

/** How a compare-and-swap ended, where the store answered. */
export type CompareAndSwapOutcome =
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly current: StoreEntry | undefined };

/** A lease as the store granted or renewed it. */
export interface Lease {
  readonly leaseId: string;
  /** Time to live from the answer on, in milliseconds. */
  readonly timeToLiveMilliseconds: number;
}

/** A change seen by a watch. */
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
  /** Time without any event, `progress` included, after which the watch throws; set by the store's options by default. */
  readonly silenceMilliseconds?: number | undefined;
}

/** The platform's key-value service, reduced to the verbs that limpetnotch uses. */
export interface KeyValueStore {
  read(key: string): ResultAsync<StoreEntry | undefined, StoreError>;
  list(prefix: string): ResultAsync<StoreListing, StoreError>;
  compareAndSwap(request: CompareAndSwapRequest): ResultAsync<CompareAndSwapOutcome, StoreError>;
  /** Removes a key if it still has the expected revision; resolves to whether it did. */
  remove(key: string, expectedRevision: number): ResultAsync<boolean, StoreError>;
  grantLease(timeToLiveMilliseconds: number): ResultAsync<Lease, StoreError>;
  /** Renews a lease; a lease that has ended gives a `lease-ended` error. */
  renewLease(leaseId: string): ResultAsync<Lease, StoreError>;
  revokeLease(leaseId: string): ResultAsync<void, StoreError>;
  /** Yields changes until the signal aborts; throws a `WatchError` when the connection is lost or silent. */
  watch(options: WatchOptions): AsyncIterable<WatchEvent>;
  /** Closes the connections. */
  close(): Promise<void>;
}
