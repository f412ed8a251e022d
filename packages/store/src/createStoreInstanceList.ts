import type { Metrics } from '@limpetnotch/observability';
import { z } from 'zod';
import type { InstanceList, ListedInstance } from './instanceList';
import type { KeyValueStore, StoreEntry } from './keyValueStore';
import { parseWith } from './util/parseWith';

const DEFAULT_PREFIX = 'platform/instances/';

const listedSchema = z.object({
  availabilityZone: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});

/** Options of {@link createStoreInstanceList}. */
export interface StoreInstanceListOptions {
  readonly store: KeyValueStore;
  /** Prefix of the keys, each followed by the name of an instance; `platform/instances/` by default. */
  readonly prefix?: string;
  /** Sink of `instance-list.malformed`; none by default. */
  readonly metrics?: Metrics;
}

const parseEntry = (entry: StoreEntry, prefix: string): ListedInstance | undefined => {
  const listed = parseWith(listedSchema, entry.value);
  return listed && { instance: entry.key.slice(prefix.length), ...listed };
};

/** Creates the instance list of a platform that keeps it under a prefix of its store. */
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
