/** Cause of the unexpected end of a watch. */
export type WatchErrorKind =
  /** The connection could not be opened, broke or was closed by the store, or the watch was cancelled. */
  | 'lost'
  /** No data arrived for too long, not even a progress notification. */
  | 'silent'
  /** The requested revision has been compacted; list the prefix and watch from the listed revision. */
  | 'compacted'
  /** A line does not follow the protocol. */
  | 'malformed';

/**
 * Thrown by a watch. Unless the kind is `compacted`, the watch can be restarted from the revision
 * after the last received event.
 */
export class WatchError extends Error {
  readonly kind: WatchErrorKind;

  /** Oldest revision that can still be watched, if the kind is `compacted`. */
  readonly compactRevision: number | undefined;

  constructor(kind: WatchErrorKind, detail: string, compactRevision?: number) {
    super(`watch ${kind}: ${detail}`);
    this.name = 'WatchError';
    this.kind = kind;
    this.compactRevision = compactRevision;
  }
}
