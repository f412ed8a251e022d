import type { TargetLimit } from '@limpetnotch/peer-protocol';
import type { KeyedLimitBelief } from '../limits/limitPeers';

/** Message fields of a limit; instances share no clock, so its age is sent instead of its time. */
export interface LimitMessage {
  readonly incarnation: string;
  readonly requestsPerSecond?: number;
  readonly ageMilliseconds: number;
}

/** Returns the message for a limit that this instance knows. */
export const toLimitMessage = ({ incarnationKey, belief }: KeyedLimitBelief): LimitMessage => ({
  incarnation: incarnationKey,
  ...(belief.kind === 'limited' && { requestsPerSecond: belief.requestsPerSecond }),
  ageMilliseconds: Math.max(0, Math.round(performance.now() - belief.observedAtMilliseconds)),
});

/** Returns the limit that another instance knows. */
export const fromLimitMessage = (message: TargetLimit): KeyedLimitBelief => {
  const { incarnation: incarnationKey, requestsPerSecond, ageMilliseconds } = message;
  const now = performance.now();
  const observedAtMilliseconds = now - ageMilliseconds;
  return requestsPerSecond === undefined
    ? { incarnationKey, belief: { kind: 'ended', observedAtMilliseconds } }
    : {
        incarnationKey,
        belief: {
          kind: 'limited',
          requestsPerSecond,
          observedAtMilliseconds,
          learnedAtMilliseconds: now,
        },
      };
};
