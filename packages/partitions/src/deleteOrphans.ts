import { boundStoreCall } from '@limpetnotch/store';
import type { BulkAccess } from './bulkText';
import { partKeys } from './bulkText';
import type { JournalHead } from './journalHead';
import { listReferences } from './journalHead';

const KEY_PREFIXES = ['segments', 'snapshots'] as const;

const parseEpoch = (key: string): number => Number(key.split('/')[2]?.split('-')[0]);

/**
 * Deletes texts of earlier epochs that the claimed head does not refer to. No later head can
 * refer to them either, since the first reference to a text is always made by the epoch that wrote
 * it. Texts left after a failure are deleted by the next owner.
 */
export const deleteOrphans = async (
  access: BulkAccess,
  partition: number,
  head: JournalHead,
): Promise<void> => {
  const { store, deadlineMilliseconds } = access;
  const referenced = new Set(listReferences(head).flatMap(partKeys));
  for (const keyPrefix of KEY_PREFIXES) {
    const listing = await boundStoreCall(
      store.list(`${keyPrefix}/${partition}/`),
      deadlineMilliseconds,
    );
    const entries = listing.isOk() ? listing.value.entries : [];
    const orphans = entries.filter(
      ({ key }) => !referenced.has(key) && parseEpoch(key) < head.epoch,
    );
    for (const { key, revision } of orphans) {
      await access.beforeWrite();
      await boundStoreCall(store.remove(key, revision), deadlineMilliseconds);
    }
  }
};
