import type { Metrics } from '@limpetnotch/observability';
import { z } from 'zod';
import type { InstanceList, ListedInstance } from './instanceList';
import type { KeyValueStore, StoreEntry } from './keyValueStore';
import { parseJson } from './util/parseJson';

const DEFAULT_PREFIX = 'platform/instances/';

const listedInstanceSchema = z.object({
  availabilityZone: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});

/** Options of {@link createStoreInstanceList}. */
export interface StoreInstanceListOptions {
  readonly store: KeyValueStore;
  /**
   * Prefix of the keys; the rest of a key is the name of the instance. `platform/instances/` by
   * default.
   */
  readonly prefix?: string;
  /** Sink of `instance-list.malformed`; none by default. */
  readonly metrics?: Metrics;
}

const parseEntry = (entry: StoreEntry, prefix: string): ListedInstance | undefined => {
  const listed = parseJson(listedInstanceSchema, entry.value);
  return listed && { instance: entry.key.slice(prefix.length), ...listed };
};

/** Creates an instance list that reads the entries under a prefix of the store. */
export const createStoreInstanceList = ({
  store,
  prefix = DEFAULT_PREFIX,
  metrics,
}: StoreInstanceListOptions): InstanceList => ({
  read: () =>
    store.list(prefix).map(({ entries }) =>
      entries.flatMap((entry) => {
        const listed = parseEntry(entry, prefix);
        if (listed) return [listed];
        metrics?.increment('instance-list.malformed');
        return [];
      }),
    ),
});
