import type { KnownPrefix, RelayMessage } from './relayMessage';

/** Access to what other instances read. */
export interface RelaySource {
  /** Streams what an instance reads; ends or throws when it doesn't, or can't be reached. */
  observe(
    instance: string,
    known: readonly KnownPrefix[],
    signal: AbortSignal,
  ): AsyncIterable<RelayMessage>;
}
