import type { DrainState } from './drainState';
import type { DrainTimes } from './drainTimes';

/** A request to admit or refuse. */
export interface ArrivedRequest {
  /** Arrival time, by `performance.now()`. */
  readonly nowMilliseconds: number;
  /** Maximum time until its response, limited by its caller and its route. */
  readonly remainingMilliseconds: number;
}

/** Admission decision of an instance that may be shutting down. */
export type DrainAdmission =
  | { readonly kind: 'taken' }
  /** The caller is told immediately that the request did not run. */
  | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

/** While the load balancer still sends here, other instances can accept the request immediately. */
const OTHER_INSTANCE_RETRY_AFTER_SECONDS = 0;

/**
 * Later requests arrive because no other instance accepts connections; a restart takes a second.
 */
const NO_INSTANCE_RETRY_AFTER_SECONDS = 0.5;

/**
 * Decides whether an instance accepts a request. During rolling restarts callers keep sending over
 * persistent connections and the load balancer opens new ones for some seconds, while targets may be
 * slow. A request whose response is certain to fit into the rest of the grace period is accepted. Any
 * other request is refused immediately, so that its caller has time left for another instance;
 * otherwise it could be cut off at the end with an unknown outcome.
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
          ? OTHER_INSTANCE_RETRY_AFTER_SECONDS
          : NO_INSTANCE_RETRY_AFTER_SECONDS;
      return { kind: 'refused', retryAfterSeconds };
    }
    case 'closed':
      return { kind: 'refused', retryAfterSeconds: NO_INSTANCE_RETRY_AFTER_SECONDS };
  }
};
