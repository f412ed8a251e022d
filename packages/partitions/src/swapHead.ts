import type { KeyValueStore, StoreEntry, StoreError } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import type { EncodedHead } from './journalHead';
import type { HeadError } from './partitionHead';
import { headKey, parseHead } from './partitionHead';

/** Outcome of an attempt to write a partition's head. */
export type SwapOutcome =
  | { readonly kind: 'committed'; readonly revision: number }
  /** The head in the store has another commit identifier. */
  | { readonly kind: 'conflict'; readonly epoch: number }
  /** The head was removed, or cannot be parsed. */
  | { readonly kind: 'unreadable'; readonly error: HeadError }
  /** The write certainly had no effect. */
  | { readonly kind: 'failed'; readonly error: StoreError }
  /** The write may still take effect, so only the same value may be retried. */
  | { readonly kind: 'unknown'; readonly error: StoreError };

/** Options of {@link swapHead}. */
export interface SwapRequest {
  readonly store: KeyValueStore;
  readonly partition: number;
  readonly expectedRevision: number;
  readonly head: EncodedHead;
  readonly deadlineMilliseconds: number;
  /** Called when the response of the store leaves the outcome unknown. */
  onUnknownOutcome(): void;
}

const toOutcome = (
  entry: StoreEntry | undefined,
  { head, partition }: SwapRequest,
): SwapOutcome => {
  if (!entry) {
    const detail = `${headKey(partition)} was removed`;
    return { kind: 'unreadable', error: { kind: 'corrupt-head', detail } };
  }
  const current = parseHead(entry.value);
  if (current.isErr()) return { kind: 'unreadable', error: current.error };
  if (current.value.commitId === head.commitId) {
    return { kind: 'committed', revision: entry.revision };
  }
  return { kind: 'conflict', epoch: current.value.epoch };
};

const resolveUnknownOutcome = async (
  request: SwapRequest,
  error: StoreError,
): Promise<SwapOutcome> => {
  const { store, partition, deadlineMilliseconds, expectedRevision } = request;
  request.onUnknownOutcome();
  const read = await boundStoreCall(store.read(headKey(partition)), deadlineMilliseconds);
  if (read.isErr()) return { kind: 'unknown', error };
  // The write may still be in transit, so an unchanged key does not prove that it failed.
  if ((read.value?.revision ?? 0) === expectedRevision) return { kind: 'unknown', error };
  return toOutcome(read.value, request);
};

/**
 * Writes a head by compare-and-swap; resolves an unknown outcome by the commit identifier in the
 * store.
 */
export const swapHead = async (request: SwapRequest): Promise<SwapOutcome> => {
  const { store, partition, expectedRevision, head, deadlineMilliseconds } = request;
  const swap = store.compareAndSwap({
    key: headKey(partition),
    expectedRevision,
    value: head.value,
  });
  const result = await boundStoreCall(swap, deadlineMilliseconds);
  if (result.isErr()) {
    const { error } = result;
    switch (error.kind) {
      case 'unavailable':
      case 'rate-limited':
        return { kind: 'failed', error };
      case 'unknown-outcome':
      case 'malformed-answer':
      case 'lease-ended':
        return resolveUnknownOutcome(request, error);
      // no default
    }
  }
  const outcome = result.value;
  if (outcome.kind === 'swapped') return { kind: 'committed', revision: outcome.revision };
  return toOutcome(outcome.current, request);
};
