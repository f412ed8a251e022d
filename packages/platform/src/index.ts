export { createEtcdStore } from './createEtcdStore';
export type { EtcdStoreOptions } from './createEtcdStore';
export type { StoreCallKind } from './gateway/storeCallKind';
export type {
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  KeyValueStore,
  Lease,
  StoreEntry,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from './keyValueStore';
export type { StoreError } from './storeError';
export type { StoreCallOutcome, StoreObserver } from './storeObserver';
export { WatchError } from './watchError';
export type { WatchErrorKind } from './watchError';
