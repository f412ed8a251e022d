import { createHash } from 'node:crypto';

/** A target as one instance sees it when it places a request. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests of this instance under way there. */
  readonly ownInFlight: number;
  /** Requests of all instances there, running or waiting, as last heard and corrected since. */
  readonly estimatedLoad: number;
  /** Service time against the median of its service; 1 is usual, 2 is half as fast. */
  readonly slowness: number;
}

/** What decides where one request goes. */
export interface PlacementRequest {
  /** Requests of one session have the same key; undefined where nothing is shared. */
  readonly affinityKey: string | undefined;
  readonly availabilityZone: string;
}

/** Where a request goes, and why. */
export interface Placement {
  readonly targetId: string;
  readonly reason: 'affinity' | 'affinity-overflow' | 'least-loaded';
}

/** Load of a target over the mean up to which its sessions stay with it. */
const AFFINITY_LOAD_BOUND = 1.3;

/** Share of a slot that a target in another availability zone must be less loaded to be chosen. */
const OTHER_ZONE_LOAD_MARGIN = 0.15;

const SCORE_BYTES = 6;

/** Returns a number that ranks a target for a key by rendezvous hashing (highest random weight). */
const rendezvousScore = (key: string, targetId: string): number =>
  createHash('md5').update(key).update('/').update(targetId).digest().readUIntBE(0, SCORE_BYTES);

const loadOf = ({ estimatedLoad, slots, slowness }: PlacementCandidate): number =>
  ((estimatedLoad + 1) * slowness) / slots;

const leastLoaded = (
  candidates: readonly PlacementCandidate[],
  zone: string,
): PlacementCandidate | undefined => {
  const cost = (candidate: PlacementCandidate): number =>
    loadOf(candidate) + (candidate.availabilityZone === zone ? 0 : OTHER_ZONE_LOAD_MARGIN);
  return candidates.reduce<PlacementCandidate | undefined>(
    (best, candidate) => (best && cost(best) <= cost(candidate) ? best : candidate),
    undefined,
  );
};

/**
 * Chooses a target. Answers a load of programs whose turns share a growing prompt: a session stays
 * at the target that has its prompt in memory, as long as that target is loaded no more than a
 * bound over the mean; else it goes to the next in its rendezvous order, so that a burst of one
 * session's neighbours spreads instead of queueing. Requests without a session go to the least
 * loaded target, with a margin for the instance's own availability zone.
 */
export const placeRequest = (
  { affinityKey, availabilityZone }: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): Placement | undefined => {
  const least = leastLoaded(candidates, availabilityZone);
  if (!least) return undefined;
  if (affinityKey === undefined) return { targetId: least.id, reason: 'least-loaded' };
  const totalLoad = candidates.reduce((sum, candidate) => sum + loadOf(candidate), 0);
  const bound = (totalLoad / candidates.length) * AFFINITY_LOAD_BOUND;
  const ranked = candidates
    .map((candidate) => ({ candidate, score: rendezvousScore(affinityKey, candidate.id) }))
    .sort((first, second) => second.score - first.score);
  const position = ranked.findIndex(({ candidate }) => loadOf(candidate) <= bound);
  const chosen = ranked[position]?.candidate ?? least;
  return { targetId: chosen.id, reason: position === 0 ? 'affinity' : 'affinity-overflow' };
};
