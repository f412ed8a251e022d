import type { KeyedOrigin } from './keyedOrigin';

/** A stream whose first event this instance has sent to the caller. */
export interface BegunStream extends KeyedOrigin {
  /** Time until the caller's deadline, after which the stream is no longer under way. */
  readonly remainingMilliseconds: number;
  /** Time within which the caller may resume the stream; undefined if its route allows none. */
  readonly windowMilliseconds: number | undefined;
}
