/** Why a watch ended without being asked to. */
export type WatchErrorKind =
  /** The connection was not made, broke or was closed by the store. */
  | 'lost'
  /** Nothing came for too long, not even a report of progress. */
  | 'silent'
  /** The store no longer keeps the revision asked for; list the prefix and watch from there. */
  | 'compacted'
  /** A line did not follow the protocol. */
  | 'malformed';

/** Thrown by a watch; it can be started again from the revision after the last event seen. */
export class WatchError extends Error {
  readonly kind: WatchErrorKind;

  /** Oldest revision that can still be watched, where the kind is `compacted`. */
  readonly compactRevision: number | undefined;

  constructor(kind: WatchErrorKind, detail: string, compactRevision?: number) {
    super(`watch ${kind}: ${detail}`);
    this.name = 'WatchError';
    this.kind = kind;
    this.compactRevision = compactRevision;
  }
}
