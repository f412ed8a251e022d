import { delay } from '@limpetnotch/supervision';
import type { KeyValueStore, StoreEntry } from './keyValueStore';
import type { BackoffBounds } from './util/backoffMilliseconds';
import { backoffMilliseconds } from './util/backoffMilliseconds';
import { WatchError } from './watchError';

/** Silence allowed after a failure, so that a store that is back is soon noticed. */
const SILENCE_AFTER_FAILURE_MILLISECONDS = 900;

const BACKOFF: BackoffBounds = { firstMilliseconds: 50, maximumMilliseconds: 500 };

/** What a follower of a prefix is told. */
export interface PrefixListener {
  /** All entries, after a read of the whole prefix. */
  replaced(entries: readonly StoreEntry[]): void;
  put(entry: StoreEntry): void;
  removed(key: string): void;
  /** The store answered, with or without a change. */
  confirmed(): void;
  /** The store could not be reached, or its answer was unusable. */
  lost(detail: string): void;
}

/** Options of {@link followPrefix}. */
export interface FollowOptions {
  readonly store: KeyValueStore;
  readonly prefix: string;
  readonly listener: PrefixListener;
  readonly signal: AbortSignal;
  /** Time without any answer to a watch after which its connection counts as silent. */
  readonly silenceMilliseconds: number;
}

interface Watched {
  /** Revision to go on from, or 0 to list again. */
  readonly revision: number;
  readonly isAnswered: boolean;
}

/** Follows the changes after a revision until the watch fails, or has answered after a failure. */
const watchFrom = async (
  options: FollowOptions,
  revision: number,
  hasFailed: boolean,
): Promise<Watched> => {
  const { store, prefix, listener, signal, silenceMilliseconds } = options;
  let last = revision;
  try {
    const watch = store.watch({
      prefix,
      fromRevision: last + 1,
      signal,
      silenceMilliseconds: hasFailed ? SILENCE_AFTER_FAILURE_MILLISECONDS : silenceMilliseconds,
    });
    for await (const event of watch) {
      if (event.kind === 'put') listener.put(event.entry);
      if (event.kind === 'removed') listener.removed(event.key);
      last = Math.max(last, event.kind === 'put' ? event.entry.revision : event.revision);
      listener.confirmed();
      if (hasFailed) return { revision: last, isAnswered: true };
    }
  } catch (error) {
    if (!(error instanceof WatchError)) throw error;
    listener.lost(error.message);
    const isUnusable = error.kind === 'compacted' || error.kind === 'malformed';
    return { revision: isUnusable ? 0 : last, isAnswered: error.kind === 'compacted' };
  }
  return { revision: last, isAnswered: true };
};

/** Lists a prefix and follows its changes until the signal aborts; lists again where history is gone. */
export const followPrefix = async (options: FollowOptions): Promise<void> => {
  const { store, prefix, listener, signal } = options;
  let revision = 0;
  let failures = 0;
  while (!signal.aborted) {
    if (revision === 0) {
      const listing = await store.list(prefix);
      if (listing.isOk()) {
        failures = 0;
        revision = listing.value.revision;
        listener.replaced(listing.value.entries);
        listener.confirmed();
      } else {
        listener.lost(listing.error.detail);
      }
    }
    if (revision > 0) {
      const watched = await watchFrom(options, revision, failures > 0);
      failures = watched.isAnswered ? 0 : failures + 1;
      revision = watched.revision;
    } else {
      failures += 1;
    }
    if (signal.aborted) return;
    if (failures > 0) await delay(backoffMilliseconds(failures, BACKOFF), signal);
  }
};
