import { boundStoreCall } from '@limpetnotch/store';
import type { BulkAccess } from './bulkText';
import { partKeys } from './bulkText';
import type { JournalHead } from './journalHead';
import { bulkReferences } from './journalHead';

const AREAS = ['segments', 'snapshots'] as const;

const epochOfKey = (key: string): number => Number(key.split('/')[2]?.split('-')[0]);

/**
 * Deletes texts of earlier epochs that the claimed head does not refer to. No later head can
 * refer to them either, since a text is only ever referred to first by the epoch that wrote it.
 * What a failure leaves over, the next owner deletes.
 */
export const deleteOrphans = async (
  access: BulkAccess,
  partition: number,
  head: JournalHead,
): Promise<void> => {
  const { store, deadlineMilliseconds } = access;
  const referenced = new Set(bulkReferences(head).flatMap(partKeys));
  for (const area of AREAS) {
    const listing = await boundStoreCall(store.list(`${area}/${partition}/`), deadlineMilliseconds);
    const entries = listing.isOk() ? listing.value.entries : [];
    const orphans = entries.filter(
      ({ key }) => !referenced.has(key) && epochOfKey(key) < head.epoch,
    );
    for (const { key, revision } of orphans) {
      await access.beforeWrite();
      await boundStoreCall(store.remove(key, revision), deadlineMilliseconds);
    }
  }
};
