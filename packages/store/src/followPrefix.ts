import { delay } from '@limpetnotch/supervision';
import type { KeyValueStore, StoreEntry } from './keyValueStore';
import type { BackoffBounds } from './util/computeBackoffMilliseconds';
import { computeBackoffMilliseconds } from './util/computeBackoffMilliseconds';
import { WatchError } from './watchError';

/** Shorter limit on silence after a failure, so that the recovery of the store is detected soon. */
const SILENCE_AFTER_FAILURE_MILLISECONDS = 900;

const BACKOFF_BOUNDS: BackoffBounds = { firstMilliseconds: 50, maximumMilliseconds: 500 };

/** Receives the changes under a prefix and the state of the connection. */
export interface PrefixListener {
  /** Called with all entries after the complete prefix was listed, and the revision of the list. */
  replaced(entries: readonly StoreEntry[], revision: number): void;
  put(entry: StoreEntry): void;
  removed(key: string, revision: number): void;
  /**
   * Called when the store responded, with or without a change; all changes up to the revision have
   * been passed on.
   */
  confirmed(revision: number): void;
  /**
   * Called when the store was unreachable or its response was unusable; with the time for which it
   * has been so if that is known.
   */
  lost(detail: string, lostMilliseconds?: number): void;
}

/** Options of {@link followPrefix}. */
export interface FollowOptions {
  readonly store: KeyValueStore;
  readonly prefix: string;
  readonly listener: PrefixListener;
  readonly signal: AbortSignal;
  /** Time without any event on a watch after which its connection counts as silent. */
  readonly silenceMilliseconds: number;
  /**
   * Time after changes before further ones are read, so that changes that come together are read
   * together; none by default.
   */
  readonly pauseMilliseconds?: number;
  /** Revision up to which the changes are known, so that no list is needed; none by default. */
  readonly knownRevision?: number;
}

interface WatchResult {
  /** Revision to resume from, or 0 to list the prefix again. */
  readonly revision: number;
  readonly hasResponded: boolean;
}

/**
 * Follows the changes after a revision until the watch fails. After an earlier failure it returns at
 * the first event, to restore the normal limit on silence.
 */
const watchFrom = async (
  options: FollowOptions,
  revision: number,
  hasFailed: boolean,
): Promise<WatchResult> => {
  const { store, prefix, listener, signal, silenceMilliseconds, pauseMilliseconds = 0 } = options;
  let lastRevision = revision;
  let hasChanges = false;
  try {
    const watch = store.watch({
      prefix,
      fromRevision: lastRevision + 1,
      signal,
      silenceMilliseconds: hasFailed ? SILENCE_AFTER_FAILURE_MILLISECONDS : silenceMilliseconds,
    });
    for await (const event of watch) {
      hasChanges ||= event.kind !== 'progress';
      if (event.kind === 'put') listener.put(event.entry);
      if (event.kind === 'removed') listener.removed(event.key, event.revision);
      lastRevision = Math.max(
        lastRevision,
        event.kind === 'put' ? event.entry.revision : event.revision,
      );
      // Further changes may have the revision of this one.
      const completeRevision = event.kind === 'progress' ? lastRevision : lastRevision - 1;
      listener.confirmed(completeRevision);
      if (hasFailed) return { revision: completeRevision, hasResponded: true };
      if (event.kind === 'progress' && hasChanges && pauseMilliseconds > 0) {
        hasChanges = false;
        await delay(pauseMilliseconds, signal);
      }
    }
  } catch (error) {
    if (!(error instanceof WatchError)) throw error;
    listener.lost(error.message);
    const isUnusable = error.kind === 'compacted' || error.kind === 'malformed';
    return { revision: isUnusable ? 0 : lastRevision, hasResponded: error.kind === 'compacted' };
  }
  return { revision: lastRevision, hasResponded: true };
};

/**
 * Lists a prefix and follows its changes until the signal aborts. Lists the prefix again when the
 * history has been compacted or a response was malformed. A known revision takes the place of the first
 * list.
 */
export const followPrefix = async (options: FollowOptions): Promise<void> => {
  const { store, prefix, listener, signal, knownRevision = 0 } = options;
  let revision = knownRevision;
  let failures = 0;
  while (!signal.aborted) {
    if (revision === 0) {
      const listing = await store.list(prefix);
      if (listing.isOk()) {
        failures = 0;
        revision = listing.value.revision;
        listener.replaced(listing.value.entries, revision);
        listener.confirmed(revision);
      } else {
        listener.lost(listing.error.detail);
      }
    }
    if (revision > 0) {
      const watched = await watchFrom(options, revision, failures > 0);
      failures = watched.hasResponded ? 0 : failures + 1;
      revision = watched.revision;
    } else {
      failures += 1;
    }
    if (signal.aborted) return;
    if (failures > 0) await delay(computeBackoffMilliseconds(failures, BACKOFF_BOUNDS), signal);
  }
};
