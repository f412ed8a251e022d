export { compareAndSwapUntilKnown } from './compareAndSwapUntilKnown';
export type { KnownOutcome, UntilKnownOptions } from './compareAndSwapUntilKnown';
export { createEtcdStore } from './createEtcdStore';
export type { EtcdStoreOptions } from './createEtcdStore';
export { createStoreInstanceList } from './createStoreInstanceList';
export type { StoreInstanceListOptions } from './createStoreInstanceList';
export type { StoreCallKind } from './gateway/storeCallKind';
export type { InstanceList, ListedInstance } from './instanceList';
export type {
  BatchStore,
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  KeyValueStore,
  Lease,
  PutRequest,
  StoreEntry,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from './keyValueStore';
export { MAXIMUM_PUTS } from './keyValueStore';
export type { StoreError } from './storeError';
export type { StoreCallOutcome, StoreObserver } from './storeObserver';
export { WatchError } from './watchError';
export type { WatchErrorKind } from './watchError';
export { parseJson } from './util/parseJson';
export { isConnectError } from './util/isConnectError';
export { boundStoreCall } from './util/boundStoreCall';
export { computeBackoffMilliseconds } from './util/computeBackoffMilliseconds';
export type { BackoffBounds } from './util/computeBackoffMilliseconds';
export { followPrefix } from './followPrefix';
export type { FollowOptions, PrefixListener } from './followPrefix';
