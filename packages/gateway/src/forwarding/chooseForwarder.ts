/** Another instance that may send a request to a target. */
export interface ForwarderCandidate {
  readonly name: string;
  /** Undefined for an instance of an earlier version. */
  readonly availabilityZone: string | undefined;
  /** Requests that this instance has under way through it. */
  readonly underWay: number;
  /** Whether it has declined or lost a request a moment ago. */
  readonly isAvoided: boolean;
}

/** Where a request begins and ends. */
export interface ForwardedRoute {
  readonly ownAvailabilityZone: string;
  readonly targetAvailabilityZone: string;
}

/** Requests through one forwarder at the same time, from one instance. */
const MAXIMUM_UNDER_WAY = 64;

/** A way between zones is worth as much as this many requests under way. */
const ZONE_CROSSING_COST = 8;

/**
 * Returns the instance through which a request goes to a target; undefined if there is none. Load
 * pattern: one instance, or most of an availability zone, has lost its connections and all its
 * requests go through the others, which must share them. Traffic between zones is paid for, so an
 * instance in the zone of either end is preferred while it has not much more under way.
 */
export const chooseForwarder = (
  candidates: readonly ForwarderCandidate[],
  { ownAvailabilityZone, targetAvailabilityZone }: ForwardedRoute,
): ForwarderCandidate | undefined => {
  const costOf = ({ availabilityZone, underWay }: ForwarderCandidate): number => {
    const crossings =
      Number(availabilityZone !== ownAvailabilityZone) +
      Number(availabilityZone !== targetAvailabilityZone);
    return crossings * ZONE_CROSSING_COST + underWay;
  };
  return candidates
    .filter(({ isAvoided, underWay }) => !isAvoided && underWay < MAXIMUM_UNDER_WAY)
    .reduce<ForwarderCandidate | undefined>(
      (best, candidate) => (best && costOf(best) <= costOf(candidate) ? best : candidate),
      undefined,
    );
};
