import { delay } from '@limpetnotch/supervision';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { decodeRoot } from '../format/decodeConfiguration';
import type { ConfigurationStore } from './configurationStore';
import { createConflictError } from './createConflictError';
import type { PublishError } from './publishError';

const MAXIMUM_ATTEMPTS = 8;
const FIRST_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000;

/**
 * Whether the new root was written, or has to be rebuilt as a collection of chunks rewrote the
 * base.
 */
export type SwapOutcome = 'published' | 'start-over';

const computeBackoffMilliseconds = (attempt: number): number =>
  Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** attempt);

/**
 * Determines whether the stored root is that of this publish or a successor of it. The history
 * contains every replaced root, as it is written there before the next one replaces it.
 */
const resolveConflict = async (
  store: ConfigurationStore,
  next: ConfigurationRoot,
  value: string | undefined,
): Promise<Result<SwapOutcome, PublishError>> => {
  if (value === undefined) return ok('start-over');
  const decoded = decodeRoot(value);
  if (decoded.isErr()) return err({ kind: 'format', error: decoded.error });
  const root = decoded.value;
  if (root.publishId === next.publishId) return ok('published');
  if (root.revision < next.revision) return ok('start-over');
  if (root.revision > next.revision) {
    const earlier = await store.readHistory(next.revision);
    if (earlier.isErr()) return err(earlier.error);
    if (earlier.value?.publishId === next.publishId) return ok('published');
  }
  return err(createConflictError(next.revision - 1, root));
};

/**
 * Replaces the root, and retries the compare-and-swap until its outcome is known or the attempts
 * are exhausted. All attempts expect the same revision of the key, so at most one of them takes
 * effect.
 */
export const swapRoot = async (
  store: ConfigurationStore,
  next: ConfigurationRoot,
  storeRevision: number,
): Promise<Result<SwapOutcome, PublishError>> => {
  const value = JSON.stringify(next);
  const { revision, publishId } = next;
  let detail = '';
  let certainlyNotWritten = true;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await delay(computeBackoffMilliseconds(attempt));
    const swapped = await store.swapRoot(value, storeRevision);
    if (swapped.isErr()) {
      const { kind } = swapped.error;
      certainlyNotWritten &&= kind === 'unavailable' || kind === 'rate-limited';
      detail = `${kind}: ${swapped.error.detail}`;
    } else if (swapped.value.kind === 'swapped') {
      return ok('published');
    } else {
      return resolveConflict(store, next, swapped.value.current?.value);
    }
  }
  if (certainlyNotWritten) return err({ kind: 'store-unreachable', detail });
  return err({ kind: 'outcome-unknown', revision, publishId, detail });
};
