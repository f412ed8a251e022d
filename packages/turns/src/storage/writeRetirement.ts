import type { KeyValueStore } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import type { RetirementState, StorageCodec } from './storageCodec';

const CALL_MILLISECONDS = 900;

/** Parts of {@link writeRetirement}. */
export interface RetirementWriteParts {
  readonly store: KeyValueStore;
  readonly codec: StorageCodec;
  readonly instance: string;
  readonly state: RetirementState;
}

/** Writes the progress of a retirement; resolves to whether the store has it. */
export const writeRetirement = async ({
  store,
  codec,
  instance,
  state,
}: RetirementWriteParts): Promise<boolean> => {
  const { key, value } = codec.encodeRetirement(instance, state);
  const read = await boundStoreCall(store.read(key), CALL_MILLISECONDS);
  if (read.isErr()) return false;
  if (read.value?.value === value) return true;
  const expectedRevision = read.value?.revision ?? 0;
  const written = await boundStoreCall(
    store.compareAndSwap({ key, value, expectedRevision }),
    CALL_MILLISECONDS,
  );
  return written.isOk() && written.value.kind === 'swapped';
};
