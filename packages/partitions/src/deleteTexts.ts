import { boundStoreCall } from '@limpetnotch/store';
import type { BulkAccess } from './bulkText';
import { partKeys } from './bulkText';
import type { BulkReference } from './partitionHead';

/**
 * Deletes the parts of texts, stopping at the first failure; resolves to the number of deleted
 * parts.
 */
export const deleteTexts = async (
  access: BulkAccess,
  references: readonly BulkReference[],
): Promise<number> => {
  const { store, deadlineMilliseconds } = access;
  let deleted = 0;
  for (const key of references.flatMap(partKeys)) {
    const entry = await boundStoreCall(store.read(key), deadlineMilliseconds);
    if (entry.isErr()) return deleted;
    if (entry.value) {
      await access.beforeWrite();
      const removal = store.remove(key, entry.value.revision);
      const removed = await boundStoreCall(removal, deadlineMilliseconds);
      if (removed.isErr()) return deleted;
      deleted += 1;
    }
  }
  return deleted;
};
