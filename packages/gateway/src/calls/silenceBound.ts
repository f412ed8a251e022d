import type { FleetRoute } from '../configuration/fleetConfiguration';

/** A target that answers nobody for this long is taken for lost; steps take some milliseconds. */
const SILENCE_MILLISECONDS = 700;

/** A stream is slow, and not lost, up to this many times what its route calls timely. */
const SLOW_FACTOR = 2;

/** Silences of a target after which it may be taken for lost, in milliseconds. */
export interface SilenceBound {
  /** Before the first event of an answer. */
  readonly firstMilliseconds: number;
  /** Between two events. */
  readonly laterMilliseconds: number;
}

/**
 * Returns how long a target may be silent with a request of a route. A plain service that answers
 * nobody may just be at work; an engine makes a step in milliseconds, unless its route says that
 * answers may take longer.
 */
export const silenceBoundOf = ({
  execution,
  latencyObjectiveMilliseconds,
}: FleetRoute): SilenceBound => {
  if (execution.kind !== 'event-stream') {
    return { firstMilliseconds: Infinity, laterMilliseconds: Infinity };
  }
  const boundOf = (timelyMilliseconds: number): number =>
    Math.max(SILENCE_MILLISECONDS, SLOW_FACTOR * timelyMilliseconds);
  return {
    firstMilliseconds: boundOf(latencyObjectiveMilliseconds),
    laterMilliseconds: boundOf(execution.maximumGapMilliseconds),
  };
};
