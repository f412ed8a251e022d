import type { DrainState } from './drainState';
import type { DrainTimes } from './drainTimes';

/** A request that asks to be taken. */
export interface ArrivedRequest {
  /** Time at which it asks, by `performance.now()`. */
  readonly nowMilliseconds: number;
  /** Longest time until its answer: what its caller and its route leave it. */
  readonly remainingMilliseconds: number;
}

/**
 * Whether an instance takes a request. The load pattern behind it: during rolling restarts callers
 * go on sending over kept connections, and the balancer opens new ones for some seconds, while
 * targets may be slow. A request whose answer surely fits into the rest of the grace period is
 * served; any other one is refused at once, so that its caller still has its whole time for another
 * instance, rather than cut off at the end with its outcome unknown.
 */
export const mayTakeRequest = (
  state: DrainState,
  { graceMilliseconds, answerReserveMilliseconds }: DrainTimes,
  { nowMilliseconds, remainingMilliseconds }: ArrivedRequest,
): boolean => {
  switch (state.kind) {
    case 'serving':
      return true;
    case 'draining': {
      const end = state.sinceMilliseconds + graceMilliseconds - answerReserveMilliseconds;
      return nowMilliseconds + remainingMilliseconds <= end;
    }
    case 'closed':
      return false;
  }
};
