import type { PrefixUpdate, RelayMessage } from '../relayMessage';

/**
 * Returns a time, by the follower's clock, at which the store had confirmed an update. The reader
 * started the stream after the follower had asked for it, so the message was sent no earlier than
 * the elapsed time after that: a message that was held up, by the network or because either side
 * was frozen, is recognised as old, without synchronised clocks.
 */
export const computeEvidenceTime = (
  askedAtMilliseconds: number,
  { elapsedMilliseconds }: Pick<RelayMessage, 'elapsedMilliseconds'>,
  { ageMilliseconds }: Pick<PrefixUpdate, 'ageMilliseconds'>,
): number => askedAtMilliseconds + elapsedMilliseconds - ageMilliseconds;
