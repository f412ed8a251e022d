import type { ForwardedPart } from './forwardedPart';
import type { ForwardedRequest } from './forwardedRequest';

/** Access to the other instances for requests that they send to targets. */
export interface ForwardingPeers {
  /** Names of the instances that are present. */
  readonly names: readonly string[];
  /**
   * Has an instance send a request; throws if the connection to it breaks. An instance of an
   * earlier version declines.
   */
  forward(
    name: string,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): AsyncIterable<ForwardedPart>;
}
