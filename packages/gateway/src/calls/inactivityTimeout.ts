import type { FleetRoute } from '../configuration/fleetConfiguration';

/**
 * A target that sends nothing on any connection for this long counts as lost. Its steps take only
 * some milliseconds.
 */
const MINIMUM_INACTIVITY_MILLISECONDS = 700;

/** A stream counts as slow, not lost, up to this multiple of the time that its route expects. */
const TOLERATED_SLOWNESS_FACTOR = 2;

/** Inactivity of a target after which it may be considered lost, in milliseconds. */
export interface InactivityTimeout {
  /** Before the first event of a response. */
  readonly firstMilliseconds: number;
  /** Between two events. */
  readonly laterMilliseconds: number;
}

/**
 * Returns how long a target may be inactive with a request of a route. A plain service that sends
 * nothing may just be working, so it has no timeout. An engine takes a step within milliseconds,
 * unless its route allows longer response times.
 */
export const computeInactivityTimeout = ({
  execution,
  latencyObjectiveMilliseconds,
}: FleetRoute): InactivityTimeout => {
  if (execution.kind !== 'event-stream') {
    return { firstMilliseconds: Infinity, laterMilliseconds: Infinity };
  }
  const computeTimeout = (timelyMilliseconds: number): number =>
    Math.max(MINIMUM_INACTIVITY_MILLISECONDS, TOLERATED_SLOWNESS_FACTOR * timelyMilliseconds);
  return {
    firstMilliseconds: computeTimeout(latencyObjectiveMilliseconds),
    laterMilliseconds: computeTimeout(execution.maximumGapMilliseconds),
  };
};
