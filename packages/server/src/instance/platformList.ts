import type { InstanceList, KeyValueStore, StoreError } from '@limpetnotch/store';
import { createStoreInstanceList } from '@limpetnotch/store';
import type { Metrics } from '@limpetnotch/observability';
import { errAsync, okAsync } from 'neverthrow';

const EMPTY: StoreError = { kind: 'unavailable', detail: 'the list names no instance' };

/**
 * Creates the view of the platform's list. A platform lists at least this instance, so an empty list
 * is taken as no answer: nobody counts as gone by it.
 */
export const platformListOf = (store: KeyValueStore, metrics: Metrics): InstanceList => {
  const list = createStoreInstanceList({ store, metrics });
  return {
    read: () =>
      list.read().andThen((listed) => (listed.length === 0 ? errAsync(EMPTY) : okAsync(listed))),
  };
};
