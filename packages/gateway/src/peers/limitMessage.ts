import type { TargetLimit } from '@limpetnotch/peer-protocol';
import type { KeyedLimitState } from '../limits/limitPeers';

/** Message fields of a limit; instances share no clock, so its age is sent instead of its time. */
export interface LimitMessage {
  readonly incarnation: string;
  readonly requestsPerSecond?: number;
  readonly ageMilliseconds: number;
}

/** Returns the message for a limit that this instance knows. */
export const toLimitMessage = ({ incarnationKey, state }: KeyedLimitState): LimitMessage => ({
  incarnation: incarnationKey,
  ...(state.kind === 'limited' && { requestsPerSecond: state.requestsPerSecond }),
  ageMilliseconds: Math.max(0, Math.round(performance.now() - state.observedAtMilliseconds)),
});

/** Returns the limit that another instance knows. */
export const fromLimitMessage = (message: TargetLimit): KeyedLimitState => {
  const { incarnation: incarnationKey, requestsPerSecond, ageMilliseconds } = message;
  const now = performance.now();
  const observedAtMilliseconds = now - ageMilliseconds;
  return requestsPerSecond === undefined
    ? { incarnationKey, state: { kind: 'ended', observedAtMilliseconds } }
    : {
        incarnationKey,
        state: {
          kind: 'limited',
          requestsPerSecond,
          observedAtMilliseconds,
          learnedAtMilliseconds: now,
        },
      };
};
