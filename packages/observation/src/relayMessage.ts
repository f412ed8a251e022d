import type { StoreChange } from './storeChange';

/** What a reader relays of one prefix. */
export interface PrefixUpdate {
  readonly prefix: string;
  /** Whether the changes are all entries under the prefix, instead of those since the last update. */
  readonly isComplete: boolean;
  readonly changes: readonly StoreChange[];
  /** Revision up to which all changes have been sent. */
  readonly revision: number;
  /** Time since the store confirmed this revision. */
  readonly ageMilliseconds: number;
  /** How long the reader had lost the store the last time; 0 if it never had. */
  readonly lostMilliseconds: number;
  /** Time since that loss ended. */
  readonly regainedMilliseconds: number;
}

/** One message of a reader to a follower. */
export interface RelayMessage {
  /** Time from the start of the stream at the reader until this message. */
  readonly elapsedMilliseconds: number;
  readonly updates: readonly PrefixUpdate[];
}

/** What a follower knows of a prefix when it starts a stream. */
export interface KnownPrefix {
  readonly prefix: string;
  /** Revision up to which it knows the changes; 0 if it knows nothing. */
  readonly revision: number;
}
