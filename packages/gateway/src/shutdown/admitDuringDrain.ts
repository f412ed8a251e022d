import type { DrainState } from './drainState';
import type { DrainTimes } from './drainTimes';

/** A request that asks to be taken. */
export interface ArrivedRequest {
  /** Time at which it asks, by `performance.now()`. */
  readonly nowMilliseconds: number;
  /** Longest time until its answer: what its caller and its route leave it. */
  readonly remainingMilliseconds: number;
}

/** What an instance that may be in its shutdown does with a request. */
export type DrainAdmission =
  | { readonly kind: 'taken' }
  /** Answered at once as not run. */
  | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

/** While the balancer still sends everywhere, other instances can take the request at once. */
const ELSEWHERE_RETRY_AFTER_SECONDS = 0;

/** Later requests come because no other instance takes connections; a restart takes a second. */
const NOWHERE_RETRY_AFTER_SECONDS = 0.5;

/**
 * Decides whether an instance takes a request. The load pattern behind it: during rolling restarts
 * callers go on sending over kept connections, and the balancer opens new ones for some seconds,
 * while targets may be slow. A request whose answer surely fits into the rest of the grace period is
 * served; any other one is refused at once, so that its caller still has its time for another
 * instance, rather than cut off at the end with its outcome unknown.
 */
export const admitDuringDrain = (
  state: DrainState,
  { graceMilliseconds, readinessLagMilliseconds, answerReserveMilliseconds }: DrainTimes,
  { nowMilliseconds, remainingMilliseconds }: ArrivedRequest,
): DrainAdmission => {
  switch (state.kind) {
    case 'serving':
      return { kind: 'taken' };
    case 'draining': {
      const sinceStop = nowMilliseconds - state.sinceMilliseconds;
      const left = graceMilliseconds - answerReserveMilliseconds - sinceStop;
      if (remainingMilliseconds <= left) return { kind: 'taken' };
      const retryAfterSeconds =
        sinceStop < readinessLagMilliseconds
          ? ELSEWHERE_RETRY_AFTER_SECONDS
          : NOWHERE_RETRY_AFTER_SECONDS;
      return { kind: 'refused', retryAfterSeconds };
    }
    case 'closed':
      return { kind: 'refused', retryAfterSeconds: NOWHERE_RETRY_AFTER_SECONDS };
  }
};
