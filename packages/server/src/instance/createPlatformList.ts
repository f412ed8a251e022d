import type { InstanceList, KeyValueStore, StoreError } from '@limpetnotch/store';
import { createStoreInstanceList } from '@limpetnotch/store';
import type { Metrics } from '@limpetnotch/observability';
import { errAsync, okAsync } from 'neverthrow';

const EMPTY_LIST_ERROR: StoreError = { kind: 'unavailable', detail: 'the instance list is empty' };

/**
 * Creates a reader of the platform's list. The platform lists at least this instance, so an empty
 * list counts as unavailable and no instance is considered gone because of it.
 */
export const createPlatformList = (store: KeyValueStore, metrics: Metrics): InstanceList => {
  const list = createStoreInstanceList({ store, metrics });
  return {
    read: () =>
      list
        .read()
        .andThen((listed) => (listed.length === 0 ? errAsync(EMPTY_LIST_ERROR) : okAsync(listed))),
  };
};
