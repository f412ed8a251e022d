import { delay } from '@limpetnotch/supervision';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { decodeRoot } from '../format/decodeConfiguration';
import type { ConfigurationStore } from './configurationStore';
import { conflictWith } from './conflictWith';
import type { PublishError } from './publishError';

const ATTEMPTS = 8;
const FIRST_BACKOFF_MILLISECONDS = 50;
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000;

/** Whether the new root stands, or the base was rewritten by a collection of chunks. */
export type SwapOutcome = 'published' | 'start-over';

const backoff = (attempt: number): number =>
  Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** attempt);

/**
 * Finds out whether the root that stands is this publish, or follows it: a root is kept in the
 * history before the next one replaces it.
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
    const kept = await store.readHistory(next.revision);
    if (kept.isErr()) return err(kept.error);
    if (kept.value?.publishId === next.publishId) return ok('published');
  }
  return err(conflictWith(next.revision - 1, root));
};

/**
 * Replaces the root, and repeats the compare-and-swap until its outcome is known. All attempts
 * expect the same revision of the key, so at most one of them takes effect.
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
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    if (attempt > 0) await delay(backoff(attempt));
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
