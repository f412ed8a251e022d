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
