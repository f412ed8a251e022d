import type { StoredChange, StoredKey, StoreState } from './storeState';

/**
 * Returns the header of a response of the etcd v3 JSON gateway, which sends 64-bit integers as
 * strings.
 */
export const toResponseHeader = (state: StoreState): object => ({
  revision: String(state.revision),
});

/** Converts a stored key to its wire format. */
export const toKeyValue = (entry: StoredKey): object => ({
  key: entry.key,
  value: entry.value,
  create_revision: String(entry.createRevision),
  mod_revision: String(entry.revision),
  version: String(entry.version),
  lease: entry.lease,
});

/** Converts a change to a watch event. */
export const toWatchEvent = (change: StoredChange): object => {
  switch (change.kind) {
    case 'put':
      return { kv: toKeyValue(change.entry) };
    case 'removed':
      return {
        type: 'DELETE',
        kv: { key: change.entry.key, mod_revision: String(change.revision) },
      };
    default:
      return change.kind satisfies never;
  }
};
