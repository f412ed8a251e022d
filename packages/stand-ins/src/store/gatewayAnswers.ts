import type { StoredChange, StoredKey, StoreState } from './storeState';

/** Answers of the etcd v3 JSON gateway; 64-bit integers are strings. */
export const headerOf = (state: StoreState): object => ({ revision: String(state.revision) });

/** Turns a stored key into its form on the wire. */
export const keyValueOf = (entry: StoredKey): object => ({
  key: entry.key,
  value: entry.value,
  create_revision: String(entry.createRevision),
  mod_revision: String(entry.revision),
  version: String(entry.version),
  lease: entry.lease,
});

/** Turns a change into an event of a watch. */
export const eventOf = (change: StoredChange): object => {
  switch (change.kind) {
    case 'put':
      return { kv: keyValueOf(change.entry) };
    case 'removed':
      return {
        type: 'DELETE',
        kv: { key: change.entry.key, mod_revision: String(change.revision) },
      };
    default:
      return change.kind satisfies never;
  }
};
