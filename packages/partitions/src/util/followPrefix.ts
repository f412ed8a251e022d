import type { KeyValueStore, StoreListing, WatchEvent } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';

const RETRY_MILLISECONDS = 250;
const RENEWAL_JITTER = 0.2;

/** Options of {@link followPrefix}. */
export interface FollowOptions {
  readonly store: KeyValueStore;
  readonly prefix: string;
  readonly signal: AbortSignal;
  readonly deadlineMilliseconds: number;
  /** Returns the time after which the keys are listed again and a new watch is opened. */
  renewalMilliseconds(): number;
  onListing(listing: StoreListing): void;
  onEvent(event: WatchEvent): void;
  /** Called when a listing or a watch fails. */
  onFailure(detail: string): void;
}

const consumeWatch = async (
  options: FollowOptions,
  fromRevision: number,
  signal: AbortSignal,
): Promise<void> => {
  const { store, prefix, onEvent, onFailure } = options;
  try {
    for await (const event of store.watch({ prefix, fromRevision, signal })) {
      if (signal.aborted) return;
      onEvent(event);
    }
  } catch (error) {
    if (!signal.aborted) onFailure(error instanceof Error ? error.message : String(error));
  }
};

const watchUntilRenewal = async (options: FollowOptions, fromRevision: number): Promise<void> => {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  options.signal.addEventListener('abort', abort, { once: true });
  const renewal = options.renewalMilliseconds() * (1 + RENEWAL_JITTER * Math.random());
  const consumed = consumeWatch(options, fromRevision, controller.signal);
  // The race also ends an unresponsive watch; the aborted signal discards its late events.
  await Promise.race([consumed, delay(renewal, controller.signal)]);
  controller.abort();
  options.signal.removeEventListener('abort', abort);
};

/**
 * Follows the keys under a prefix until the signal aborts: lists them and watches from the revision
 * of the listing on. Both are repeated regularly, because a watch may become unresponsive
 * unnoticed.
 */
export const followPrefix = async (options: FollowOptions): Promise<void> => {
  while (!options.signal.aborted) {
    const listing = await boundStoreCall(
      options.store.list(options.prefix),
      options.deadlineMilliseconds,
    );
    if (options.signal.aborted) return;
    if (listing.isErr()) {
      options.onFailure(listing.error.detail);
      await delay(RETRY_MILLISECONDS, options.signal);
    } else {
      options.onListing(listing.value);
      await watchUntilRenewal(options, listing.value.revision + 1);
    }
  }
};
