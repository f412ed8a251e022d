import type { FilledTarget } from './fillShares';
import { fillShares } from './fillShares';

/** Target of a request that depends on no cached prompt. */
export interface PlainCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  /** Expected requests under way there. */
  readonly load: number;
  /** Concurrent requests that the target handles well. */
  readonly capacity: number;
  /** Duration of work relative to the usual duration. */
  readonly slowness: number;
}

/** How a request is spread over the candidates. */
export interface PlainSpread {
  readonly availabilityZone: string;
  /** Requests, with this one, that begin before all instances have seen one another's choices. */
  readonly concurrentRequests: number;
  /** Undefined if this instance is the only one; it knows all requests, so the first best is chosen. */
  readonly random: (() => number) | undefined;
}

/** Load per capacity by which a target in another availability zone must be less loaded. */
const OTHER_ZONE_LOAD_MARGIN = 0.15;

const pickByShare = (shares: readonly number[], random: () => number): number => {
  let remaining = random() * shares.reduce((sum, share) => sum + share, 0);
  const index = shares.findIndex((share) => {
    remaining -= share;
    return remaining < 0;
  });
  return index === -1 ? shares.length - 1 : index;
};

const findLeastLoaded = (targets: readonly FilledTarget[]): number => {
  const levels = targets.map(({ load, capacity }) => load / capacity);
  return levels.indexOf(Math.min(...levels));
};

/**
 * Chooses a target at random by the shares with which the concurrent requests of all instances would
 * make the times to finish equal. With one such request, it is the target that finishes first.
 */
export const placePlainRequest = (
  candidates: readonly PlainCandidate[],
  { availabilityZone: zone, concurrentRequests, random }: PlainSpread,
): PlainCandidate | undefined => {
  const filled = candidates.map(({ load, capacity, slowness, availabilityZone }) => {
    const rate = capacity / slowness;
    const margin = availabilityZone === zone ? 0 : OTHER_ZONE_LOAD_MARGIN * rate;
    // The request itself takes part in the time to finish.
    return { capacity: rate, load: load + 1 + margin };
  });
  if (!random) return candidates[findLeastLoaded(filled)];
  const shares = fillShares(filled, Math.max(1, concurrentRequests));
  return candidates[pickByShare(shares, random)];
};
